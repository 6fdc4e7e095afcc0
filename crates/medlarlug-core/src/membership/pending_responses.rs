//! Peers that owe a response, among those that are not watched by heartbeats.

use crate::{ids::InstanceId, membership::timing::ANSWER_TIMEOUT, time::Time};

/// Peers that were sent a message which requires a response, and from which nothing was received
/// since; sorted by id.
///
/// A connection may have become unresponsive without an error. In a large deployment no heartbeats
/// watch the connection to a peer of another zone, so an outstanding response is the only sign of
/// it.
///
/// ```
/// use medlarlug_core::{membership::PendingResponses, time::Time};
///
/// let mut pending = PendingResponses::default();
/// pending.expect_response(Time::ZERO, &"keeper-1".parse().unwrap());
/// assert!(pending.take_unresponsive(Time::from_millis(1_000)).is_empty());
/// assert_eq!(pending.take_unresponsive(Time::from_millis(2_500)).len(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PendingResponses {
    peers: Vec<(InstanceId, Time)>,
}

impl PendingResponses {
    /// Records that a message which requires a response is sent to `peer`. The time counts from the
    /// first such message.
    pub fn expect_response(&mut self, now: Time, peer: &InstanceId) {
        if let Err(index) = self.find(peer) {
            self.peers.insert(index, (peer.clone(), now));
        }
    }

    /// Records that any message from `peer` arrived.
    pub fn response_received(&mut self, peer: &InstanceId) {
        if let Ok(index) = self.find(peer) {
            self.peers.remove(index);
        }
    }

    /// Removes and returns the peers whose response is overdue. Each is tracked again from the next
    /// message that requires a response.
    pub fn take_unresponsive(&mut self, now: Time) -> Vec<InstanceId> {
        let is_overdue = |it: &mut (InstanceId, Time)| now - it.1 >= ANSWER_TIMEOUT;
        self.peers.extract_if(.., is_overdue).map(|it| it.0).collect()
    }

    fn find(&self, peer: &InstanceId) -> Result<usize, usize> {
        self.peers.binary_search_by(|it| it.0.cmp(peer))
    }
}
