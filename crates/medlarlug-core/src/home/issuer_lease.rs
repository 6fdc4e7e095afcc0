//! The lease of the issuer of orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    home::{booking::Owner, command::Reply},
    ids::{Revision, Term},
};

/// Who may issue orders to the engines of the region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerLease {
    /// Term of the last grant.
    pub term: Term,
    /// The last holder.
    pub holder: Option<Owner>,
    /// Logical time at which its lease ends, in microseconds.
    pub until: u64,
}

/// Terms that one founding of a group has room for.
const TERMS_PER_FOUNDING: u64 = 1 << 32;

impl IssuerLease {
    /// The lease of a group that was founded at `revision`.
    ///
    /// Its terms are above those of every earlier founding. A lease that an earlier founding may
    /// have granted is waited out until the logical time `until`.
    pub(crate) fn founded(revision: Revision, until: u64) -> IssuerLease {
        IssuerLease { term: Term(revision.0 * TERMS_PER_FOUNDING), holder: None, until }
    }

    /// Grants or renews the lease at the logical time `clock`.
    ///
    /// Another incarnation of the holder's instance is another holder: the former process may be
    /// suspended and not gone.
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
