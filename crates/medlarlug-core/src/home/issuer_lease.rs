//! The lease that allows one process of a region to issue orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    home::{booking::Owner, command::Reply},
    ids::{Revision, Term},
};

/// Lease of the process that may issue orders to the engines of the region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerLease {
    /// Fencing term of the last grant; it rises with every grant that is not a renewal.
    pub term: Term,
    /// Last holder, also after its lease has expired.
    pub holder: Option<Owner>,
    /// Logical time at which the lease expires, in microseconds.
    pub until: u64,
}

/// Number of terms reserved for each revision at which a group may be founded.
const TERMS_PER_FOUNDING: u64 = 1 << 32;

impl IssuerLease {
    /// Initial lease of a group that was founded at `revision`.
    ///
    /// Its terms are higher than those of every earlier founding. No lease is granted before the logical
    /// time `until`, when a lease that an earlier founding may have granted has expired.
    pub(crate) fn after_founding(revision: Revision, until: u64) -> IssuerLease {
        IssuerLease { term: Term(revision.0 * TERMS_PER_FOUNDING), holder: None, until }
    }

    /// Grants or renews the lease at the logical time `clock`.
    ///
    /// Another incarnation of the holder's instance counts as another holder, since the former process may
    /// be suspended and still running.
    pub(crate) fn request(&mut self, clock: u64, holder: Owner, duration: Duration) -> Reply {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let is_holder = self.holder.as_ref() == Some(&holder);
        if self.until > clock && !is_holder {
            let remaining = Duration::from_micros(self.until - clock);
            return Reply::LeaseHeld { holder: self.holder.clone(), remaining };
        }
        if self.until <= clock {
            self.term = self.term.next();
        }
        self.holder = Some(holder);
        self.until = self.until.max(clock.saturating_add(micros));
        Reply::LeaseGranted { term: self.term, duration }
    }
}
