//! Peers that owe an answer, among those that aren't watched by heartbeats.

use crate::{ids::InstanceId, membership::timing::ANSWER_SILENCE, time::Time};

/// Peers that were asked something and haven't been heard since, sorted by id.
///
/// A connection may have gone silent without an error, and nobody else looks after the connection
/// to a peer of another zone in a large deployment.
///
/// ```
/// use medlarlug_core::{membership::Awaited, time::Time};
///
/// let mut awaited = Awaited::default();
/// awaited.asked(Time::ZERO, &"keeper-1".parse().unwrap());
/// assert!(awaited.silent(Time::from_millis(1_000)).is_empty());
/// assert_eq!(awaited.silent(Time::from_millis(2_500)).len(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Awaited {
    peers: Vec<(InstanceId, Time)>,
}

impl Awaited {
    /// Notes that a message which calls for an answer goes to `peer`.
    pub fn asked(&mut self, now: Time, peer: &InstanceId) {
        if let Err(place) = self.find(peer) {
            self.peers.insert(place, (peer.clone(), now));
        }
    }

    /// Notes that a message of `peer` arrived.
    pub fn heard(&mut self, peer: &InstanceId) {
        if let Ok(place) = self.find(peer) {
            self.peers.remove(place);
        }
    }

    /// Takes out the peers that have been silent for too long; each counts anew with the next
    /// message that calls for an answer.
    pub fn silent(&mut self, now: Time) -> Vec<InstanceId> {
        let is_silent = |it: &mut (InstanceId, Time)| now - it.1 >= ANSWER_SILENCE;
        self.peers.extract_if(.., is_silent).map(|it| it.0).collect()
    }

    fn find(&self, peer: &InstanceId) -> Result<usize, usize> {
        self.peers.binary_search_by(|it| it.0.cmp(peer))
    }
}
