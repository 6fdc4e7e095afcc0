//! Detection of crashed upstreams, and isolation of the contents that may have crashed them.
//!
//! An upstream counts as crashed if a request's connection was lost and a new connection is refused;
//! an unresponsive connection alone is no crash. The facts are sent to every entry instance, so that
//! a crashing content is recognized at whichever instance its caller retries it.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    ids::{Incarnation, InstanceId, RequestId, UpstreamId},
    membership::{InstanceKind, Target},
    refusal::{Reason, Refusal},
    suspects::{ContentStatus, CrashId, Effect, Event, Fact, Placement},
};
use tokio::{io::AsyncReadExt, net::TcpStream, time::timeout};

use crate::{
    coordination::entry::{Entry, exchange::Call},
    protocol::Message,
};

/// Time for which a probe connection has to stay open to show that the upstream is live.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(100);

/// Maximum number of probe connections to find out whether an upstream has crashed.
const MAX_PROBES: u32 = 5;

/// Time for an upstream to accept a probe connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of facts that are sent to an instance that has started.
const MAX_INITIAL_FACTS: usize = 1_024;

impl Entry {
    /// Passes an event to the suspect tracker and carries out the resulting effects.
    pub fn handle_suspect_event(&self, event: Event) {
        let mut effects = Vec::new();
        self.suspects.borrow_mut().handle(self.node.now(), event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Publish(fact) => self.publish_fact(&fact),
                Effect::Reserve { upstream, lifetime } => {
                    self.notify_zone(&Message::Reserve { upstream, lifetime });
                }
                Effect::ReleaseReservation { upstream } => {
                    self.notify_zone(&Message::Free { upstream })
                }
                Effect::PartsOmitted { crash: CrashId { upstream, incarnation }, count } => {
                    tracing::warn!(%upstream, %incarnation, count, "parts left out of a crash report, which names too many");
                }
                // The task of the request detects the crash on its own connection.
                Effect::Interrupted { .. } => {}
            }
        }
    }

    /// Reports to the suspect tracker that a request was sent to an upstream.
    pub fn track_sent(&self, request: &RequestId, call: &Call, upstream: &UpstreamId) {
        let Some(incarnation) = self.incarnation_of(upstream) else { return };
        self.handle_suspect_event(Event::Sent {
            request: request.clone(),
            contents: call.contents.clone(),
            upstream: upstream.clone(),
            incarnation,
        });
    }

    fn incarnation_of(&self, upstream: &UpstreamId) -> Option<Incarnation> {
        let members = self.node.members.borrow();
        let known = members.upstream(self.node.now(), upstream)?;
        Some(known.announcement.incarnation)
    }

    /// Refuses a call with a content that is quarantined because it has crashed upstreams.
    ///
    /// # Errors
    ///
    /// Fails with a refusal if a content of the call is quarantined.
    pub fn check_quarantine(&self, call: &Call) -> Result<(), Refusal> {
        match self.suspects.borrow().request_status(self.node.now(), &call.contents) {
            ContentStatus::Quarantined { retry_after } => {
                Err(self.refusal(Reason::Quarantined, retry_after))
            }
            ContentStatus::Clear | ContentStatus::Suspect => Ok(()),
        }
    }

    /// The upstreams to which the call must not be sent now, sorted.
    ///
    /// As long as another upstream is allowed, these include the upstreams that a suspect would share
    /// with other requests. Suspects occupy at most half of the upstreams at a time, so that other
    /// requests are still served.
    pub fn denied_upstreams(&self, target: &Target, call: &Call) -> Vec<UpstreamId> {
        let suspects = self.suspects.borrow();
        if suspects.is_unrestricted() {
            return Vec::new();
        }
        let now = self.node.now();
        let serving = self.live_upstreams(target);
        let occupied = serving.iter().filter(|it| suspects.has_suspect(now, it)).count();
        let is_suspect = suspects.request_status(now, &call.contents) == ContentStatus::Suspect;
        if is_suspect && occupied >= (serving.len() / 2).max(1) {
            return serving;
        }
        let (mut shared, mut denied, mut has_allowed) = (Vec::new(), Vec::new(), false);
        for id in serving {
            match suspects.placement(now, &call.contents, &id) {
                Placement::Allowed => has_allowed = true,
                Placement::LastResort => shared.push(id),
                Placement::Denied => denied.push(id),
            }
        }
        if has_allowed {
            denied.append(&mut shared);
        }
        denied.sort();
        denied
    }

    /// The upstreams of the zone that serve a target and are not in cooldown, sorted.
    fn live_upstreams(&self, target: &Target) -> Vec<UpstreamId> {
        let now = self.node.now();
        let cooling = self.cooldowns.ids(now);
        let members = self.node.members.borrow();
        let serving = members.upstreams(now).filter(|it| it.serves(target));
        let mut serving: Vec<UpstreamId> = serving.map(|it| it.announcement.id.clone()).collect();
        serving.sort();
        serving.retain(|it| cooling.binary_search(it).is_err());
        serving
    }

    /// Checks by new connections whether an upstream crashed during a request, and reports the result
    /// to the suspect tracker.
    pub async fn check_for_crash(
        &self,
        request: &RequestId,
        upstream: &UpstreamId,
        address: SocketAddr,
    ) {
        let incarnation = self.suspects.borrow().incarnation_of(request);
        let connection = probe(address).await;
        if connection != Probe::Open {
            self.cooldowns.begin(self.node.now(), upstream);
        }
        let is_refused = connection == Probe::Refused;
        match incarnation.filter(|_| is_refused) {
            Some(incarnation) => {
                tracing::warn!(%upstream, %incarnation, %request, "upstream crashed");
                let upstream = upstream.clone();
                self.handle_suspect_event(Event::UpstreamCrashed { upstream, incarnation });
            }
            None => self.handle_suspect_event(Event::Inconclusive { request: request.clone() }),
        }
    }

    fn publish_fact(&self, fact: &Fact) {
        for peer in self.node.cluster.entries().filter(|it| it.id != self.node.own.id) {
            self.node.send(&peer.id, Message::Fact(fact.clone()));
        }
    }

    fn notify_zone(&self, message: &Message) {
        let own = &self.node.own;
        let peers = self.node.cluster.entries();
        for peer in peers.filter(|it| it.zone == own.zone && it.id != own.id) {
            self.node.send(&peer.id, message.clone());
        }
    }

    /// Sends the known facts about crashes to an entry instance that has started.
    pub fn send_facts(&self, peer: &InstanceId) {
        let members = self.node.members.borrow();
        let is_entry = members.peer(peer).is_some_and(|it| it.seed.kind == InstanceKind::Entry);
        drop(members);
        if !is_entry {
            return;
        }
        let facts = self.suspects.borrow().ledger().facts(self.node.now());
        for fact in facts.into_iter().take(MAX_INITIAL_FACTS) {
            self.node.send(peer, Message::Fact(fact));
        }
    }
}

/// What became of new connections to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// One stayed open.
    Open,
    /// The upstream refused one.
    Refused,
    /// They did not open in time, or broke at once.
    Broken,
}

/// Opens a connection to an upstream.
///
/// While a process exits, its port may still accept a connection that breaks a moment later; in that
/// case another connection is tried.
async fn probe(address: SocketAddr) -> Probe {
    for _ in 0..MAX_PROBES {
        let mut stream = match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Probe::Refused;
            }
            Ok(Err(_)) | Err(_) => return Probe::Broken,
        };
        if timeout(PROBE_HOLD_TIME, stream.read(&mut [0])).await.is_err() {
            return Probe::Open;
        }
    }
    Probe::Broken
}
