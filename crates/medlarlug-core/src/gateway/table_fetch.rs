//! When a table that was requested from a keeper is requested again.
//!
//! A table can take longer to arrive than a keeper takes to answer: a megabyte needs over a second on a link
//! of 7 Mbit/s. Each further request makes a keeper send the whole table once more, so one that is repeated
//! while the table arrives delays it, and on a narrow link each repetition causes the next. A request is
//! therefore only repeated once its link has been idle. A newer version that becomes known meanwhile is requested
//! once the table has arrived; keepers answer with the newest one that they have.

use std::{net::SocketAddr, time::Duration};

use crate::time::Time;

/// Time without any received part of a table after which it is requested again: the time for a keeper to
/// answer, over a link between regions.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// A request for a table that has not arrived yet.
///
/// ```
/// use medlarlug_core::{gateway::table_fetch::TableFetch, time::Time};
///
/// let at = Time::from_millis;
/// let keeper = "10.1.0.1:7660".parse().unwrap();
/// let mut fetch = TableFetch::new(at(0), keeper, 0);
/// fetch.observe(at(500), Some(65_536));
/// assert!(fetch.is_active(at(1_000)));
/// fetch.observe(at(1_200), Some(65_536));
/// assert!(!fetch.is_active(at(1_200)));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableFetch {
    keeper: SocketAddr,
    /// Bytes of long messages received over the link, when this was last observed; `None` if the link has
    /// closed since.
    received: Option<u64>,
    /// When the table was requested, or more of it was last known to have arrived.
    active_at: Time,
}

impl TableFetch {
    /// A request that is sent now to `keeper`, over whose link `received` bytes of long messages had arrived
    /// before.
    pub fn new(now: Time, keeper: SocketAddr, received: u64) -> TableFetch {
        TableFetch { keeper, received: Some(received), active_at: now }
    }

    /// The keeper that was asked.
    pub fn keeper(&self) -> SocketAddr {
        self.keeper
    }

    /// Records how many bytes of long messages have arrived over the link to the keeper; `None` if the link
    /// is closed, which ends the request. A link that was reopened does not continue it.
    pub fn observe(&mut self, now: Time, received: Option<u64>) {
        match (self.received, received) {
            (Some(before), Some(received)) if received > before => {
                (self.received, self.active_at) = (Some(received), now);
            }
            (Some(before), Some(received)) if received == before => {}
            _ => self.received = None,
        }
    }

    /// Whether a table may still arrive.
    pub fn is_active(&self, now: Time) -> bool {
        self.received.is_some() && now - self.active_at < FETCH_TIMEOUT
    }
}
