//! Whether an upstream is still the process that its announcements tell of.
//!
//! An upstream that crashes and returns is cold, and its announcement may arrive late. Its connections
//! end at once, though, and new ones are refused meanwhile. An instance that observes either takes the
//! upstream for cold until its next announcement, and tells the other instances of the region.
//!
//! An instance that has just started has seen no connection end. It asks the others, and relies on
//! announcements from before its start only where one of them vouches for the upstream (see
//! [`Vouch`](medlarlug_core::gateway::cold::Vouch)).

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        cold::Vouch,
        upstreams::{Birth, KnownUpstream, UpstreamState},
    },
    ids::UpstreamId,
    time::Time,
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use super::Entry;
use crate::{load_exchange, metrics as names};

/// Time between two requests for vouches of an instance that has just started.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start in which an instance asks: by then upstreams have announced themselves anew.
const ASK_TIME: Duration = Duration::from_secs(3);
/// Instances that are asked at a time.
const ASKED_INSTANCES: usize = 2;
/// Upstreams in one answer, so that it fits into a datagram.
const MAX_VOUCHED: usize = 30;
/// Time in which the end of the connections to an incarnation is told once.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the upstreams of the region from which on the network is the likely cause when the
/// connections to them end together. This is not told to others.
const NETWORK_FAULT_SHARE: f64 = 0.5;

/// A message between entry instances of a region about the processes of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LivenessMessage {
    /// All connections of the sender to an incarnation have ended, or a new one was refused.
    Ended { upstream: UpstreamId, birth: Birth },
    /// The sender has just started and asks for upstreams that the receiver vouches for.
    Ask,
    /// The sender vouches for these incarnations.
    Vouched(Vec<(UpstreamId, Birth)>),
}

/// What other instances have been told, and are still to be told.
#[derive(Debug, Default)]
pub(super) struct LivenessState {
    /// Incarnations whose end was told, and when.
    told: RefCell<Vec<(UpstreamId, Birth, Time)>>,
    notices: RefCell<Vec<LivenessMessage>>,
    wake: Notify,
}

impl Entry {
    /// Takes upstreams for cold whose idle connections have all ended, and tells the other instances.
    fn record_ended_connections(&self) {
        let lost = self.client.take_lost_addresses();
        if lost.is_empty() {
            return;
        }
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let in_region: Vec<&KnownUpstream> =
            upstreams.all().iter().filter(|known| self.is_ready_here(known)).collect();
        let ended = in_region.iter().filter(|known| {
            let id = &known.upstream.id;
            lost.contains(&known.upstream.address) && self.loads.borrow().report_of(id).running == 0
        });
        let ended: Vec<&&KnownUpstream> = ended.collect();
        for known in &ended {
            let (upstream, birth) = (&known.upstream.id, known.upstream.birth.0);
            tracing::info!(%upstream, birth, "all connections to the upstream ended; it counts as cold until its next announcement");
            metrics::counter!(names::ENDED_UPSTREAMS).increment(1);
            self.healths.borrow_mut().record_crash(now, &known.upstream.id);
        }
        let is_network =
            ended.len() > 1 && ended.len() as f64 >= NETWORK_FAULT_SHARE * in_region.len() as f64;
        if !is_network {
            ended.iter().for_each(|known| self.tell_ended(&known.upstream.id));
        }
    }

    /// Tells the other instances of the region that an upstream may have ended, unless they were told
    /// recently.
    pub(super) fn tell_ended(&self, id: &UpstreamId) {
        if self.is_isolated() {
            return;
        }
        let (now, upstreams) = (self.now(), self.upstreams.borrow());
        let Some(known) = upstreams.get(id) else { return };
        let (upstream, birth) = (id.clone(), known.upstream.birth);
        let mut told = self.liveness.told.borrow_mut();
        told.retain(|it| now - it.2 < NOTICE_INTERVAL);
        if told.iter().all(|it| it.0 != upstream || it.1 != birth) {
            told.push((upstream.clone(), birth, now));
            self.liveness.notices.borrow_mut().push(LivenessMessage::Ended { upstream, birth });
            self.liveness.wake.notify_one();
        }
    }

    fn is_ready_here(&self, known: &KnownUpstream) -> bool {
        let settings = self.settings.borrow();
        known.upstream.state == UpstreamState::Ready
            && settings.region_of(&known.upstream.zone) == Some(&settings.info.region)
    }

    /// The incarnations that this instance vouches for.
    fn vouched_upstreams(&self) -> Vec<(UpstreamId, Birth)> {
        let now = self.now();
        if !self.view.borrow().is_settled(now) || self.is_isolated() {
            return Vec::new();
        }
        let upstreams = self.upstreams.borrow();
        let vouched = upstreams.all().iter().filter(|known| {
            let age = self.client.oldest_connection(known.upstream.address);
            let vouch = Vouch {
                announced_at: known.announced_at,
                connected_at: age.map(|age| now.saturating_sub(age)),
                is_warm: known.announced_at > self.started && !self.is_cold(now, known),
            };
            self.is_ready_here(known) && vouch.holds()
        });
        vouched.map(|known| (known.upstream.id.clone(), known.upstream.birth)).collect()
    }

    /// Handles a message from another instance. Returns the answers to send.
    pub(crate) fn on_liveness_message(
        &self,
        from: SocketAddr,
        message: LivenessMessage,
    ) -> Vec<LivenessMessage> {
        let now = self.now();
        match message {
            LivenessMessage::Ended { upstream, birth } => {
                let upstreams = self.upstreams.borrow();
                let known = upstreams.get(&upstream).filter(|it| it.upstream.birth == birth);
                let Some(known) = known else { return Vec::new() };
                let address = known.upstream.address;
                // A connection of this instance that is still open shows more.
                if self.loads.borrow().report_of(&upstream).running == 0
                    && self.client.idle_connections(address) == 0
                {
                    tracing::info!(%upstream, birth = birth.0, %from, "an upstream may have ended, by another instance; it counts as cold until its next announcement");
                    self.healths.borrow_mut().record_crash(now, &upstream);
                }
                Vec::new()
            }
            LivenessMessage::Ask => {
                let vouched = self.vouched_upstreams();
                vouched.chunks(MAX_VOUCHED).map(|it| LivenessMessage::Vouched(it.into())).collect()
            }
            LivenessMessage::Vouched(vouched) => {
                let upstreams = self.upstreams.borrow();
                tracing::info!(upstreams = vouched.len(), %from, "another instance vouches for upstreams");
                for (id, birth) in vouched {
                    if upstreams.get(&id).is_some_and(|it| it.upstream.birth == birth) {
                        self.healths.borrow_mut().record_vouch(now, &id);
                    }
                }
                Vec::new()
            }
        }
    }

    /// Whether the instance has to rely on announcements from before its start for any upstream.
    fn has_inherited_upstreams(&self) -> bool {
        let upstreams = self.upstreams.borrow();
        let mut here = upstreams.all().iter().filter(|known| self.is_ready_here(known));
        here.any(|known| known.announced_at < self.started)
    }
}

/// Tells other instances of ended connections for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        tokio::select! {
            () = entry.client.connection_ended() => entry.record_ended_connections(),
            () = entry.liveness.wake.notified() => {}
        }
        for message in entry.liveness.notices.take() {
            let (_, members) = entry.region_members();
            let own = entry.id();
            for (_, address) in members.iter().filter(|it| it.0.id != own) {
                load_exchange::send_liveness_message(&socket, message.clone(), *address);
            }
        }
    }
}

/// Asks other instances for upstreams that they vouch for, until all upstreams have announced
/// themselves since the start of this process.
pub(super) async fn ask(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    while entry.uptime() < ASK_TIME {
        sleep(ASK_INTERVAL).await;
        if !entry.has_inherited_upstreams() {
            continue;
        }
        let (own, members) = entry.region_members();
        let others: Vec<SocketAddr> =
            members.iter().filter(|it| it.0.id != own.id).map(|it| it.1).collect();
        let asked: Vec<SocketAddr> =
            others.sample(&mut rand::rng(), ASKED_INSTANCES).copied().collect();
        for address in asked {
            load_exchange::send_liveness_message(&socket, LivenessMessage::Ask, address);
        }
    }
}
