//! What entry instances and keepers have in common: links, calls, membership and the follower of
//! the configuration.
//!
//! A [`Node`] is passed down to whatever runs in the process. Cores are behind `RefCell`s, which
//! are borrowed for the time of one `handle` call and never across an `await`.

use std::{cell::RefCell, ops::Deref, rc::Rc, time::Duration};

use medlarlug_core::{
    announcement::Announcement,
    fingerprint::Fingerprint,
    follower::{self, Follower, Sources, Storage},
    ids::{Incarnation, InstanceId, RegionId, Revision, TeamId},
    membership::{self, InstanceKind, Membership, Notice, PendingResponses, Seed, Status},
    release::{Configuration, item::Team},
    time::Time,
};
use tokio::sync::watch;

use crate::{
    coordination::{calls::PendingCalls, clock::Clock},
    protocol::{DeploymentKeys, GroupId, Message},
    settings::{ClusterSettings, Peer, PeerKind},
    transport::links::Links,
};

/// Counter: messages that could not be sent because a peer takes none.
const UNSENT_MESSAGES: &str = "medlarlug_link_unsent_messages_total";

/// Age below which a connection is not replaced at its receiver's request: it may have had no
/// time yet to be heard.
const MIN_LINK_AGE: Duration = Duration::from_secs(1);

/// The part that every process of the system has.
pub struct Node {
    /// The process itself, as the cluster file names it.
    pub own: Peer,
    /// Its region.
    pub region: RegionId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The cluster file.
    pub cluster: ClusterSettings,
    /// The deployment keys.
    pub keys: DeploymentKeys,
    /// The process's clock.
    pub clock: Clock,
    /// Calls to replication groups.
    pub calls: RefCell<PendingCalls>,
    /// Who is there.
    pub members: RefCell<Membership>,
    /// The configuration in force here.
    pub follower: RefCell<Follower>,
    links: RefCell<Links>,
    // Peers that aren't watched by heartbeats and owe an answer.
    awaited: RefCell<PendingResponses>,
    revision: watch::Sender<Revision>,
    unsaved: watch::Sender<Option<Box<Configuration>>>,
    current: RefCell<Option<Rc<ActiveConfiguration>>>,
}

/// The configuration in force at an instance, with the index that every request needs.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    // Teams by the fingerprints of their bearer keys, sorted.
    keys: Vec<(Fingerprint, TeamId)>,
}

impl ActiveConfiguration {
    fn new(configuration: Configuration) -> ActiveConfiguration {
        let of_team = |team: &Team| -> Vec<(Fingerprint, TeamId)> {
            team.keys.iter().map(|key| (*key, team.id.clone())).collect()
        };
        let mut keys: Vec<(Fingerprint, TeamId)> =
            configuration.teams().flat_map(of_team).collect();
        keys.sort();
        ActiveConfiguration { configuration, keys }
    }

    /// The team that owns the bearer key with this fingerprint.
    pub fn team_of_key(&self, key: Fingerprint) -> Option<&Team> {
        let found = self.keys.binary_search_by(|it| it.0.cmp(&key)).ok()?;
        self.configuration.team(&self.keys[found].1)
    }
}

impl Deref for ActiveConfiguration {
    type Target = Configuration;

    fn deref(&self) -> &Configuration {
        &self.configuration
    }
}

impl Node {
    /// Notes every peer and starts the cores; links connect with their first message.
    pub fn new(
        own: Peer,
        cluster: ClusterSettings,
        keys: DeploymentKeys,
        incarnation: Incarnation,
        storage: Storage,
        mut links: Links,
    ) -> Node {
        // Calls of a keeper may go to a group that it leads itself, over the same path.
        for peer in &cluster.instances {
            links.add_peer(peer.id.clone(), peer.peers);
        }
        let seed = |peer: &Peer| seed_of(&cluster, peer);
        let peers = cluster.instances.iter().filter(|it| it.id != own.id).map(seed).collect();
        let settings = membership::Settings { own: seed(&own), incarnation, peers };
        let clock = Clock::start();
        let members = Membership::new(clock.now(), settings);
        let start = first_number(incarnation);
        let follower = Follower::new(follower::Timing::default(), storage, start);
        let sources = sources_of(&cluster, &own);
        let revision = watch::Sender::new(follower.revision());
        let current = follower.configuration().cloned().map(ActiveConfiguration::new).map(Rc::new);
        let region = cluster.region_of(&own.zone).cloned().expect("the settings were checked");
        let node = Node {
            own,
            region,
            incarnation,
            cluster,
            keys,
            clock,
            calls: RefCell::new(PendingCalls::new(start)),
            members: RefCell::new(members),
            follower: RefCell::new(follower),
            links: RefCell::new(links),
            awaited: RefCell::default(),
            revision,
            unsaved: watch::Sender::new(None),
            current: RefCell::new(current),
        };
        node.set_update_sources(sources);
        node
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a message; tells whether it was handed to the link.
    pub fn send(&self, to: &InstanceId, message: Message) -> bool {
        if calls_for_answer(&message) && self.members.borrow().peer(to).is_none() {
            self.awaited.borrow_mut().expect_response(self.now(), to);
        }
        match self.links.borrow_mut().send(to, message) {
            Ok(()) => true,
            Err(error) => {
                metrics::counter!(UNSENT_MESSAGES).increment(1);
                tracing::debug!(%error, "message not sent");
                false
            }
        }
    }

    /// The voters of a group, as the cluster file names them; those of the own zone first.
    pub fn voters(&self, group: &GroupId) -> Vec<InstanceId> {
        let mut voters = match group {
            GroupId::Configuration => self.cluster.configuration.clone(),
            GroupId::Home(region) => {
                self.cluster.home(region).map(|it| it.voters.clone()).unwrap_or_default()
            }
            // Its members find each other by contact addresses, not by the cluster file.
            GroupId::Publication => Vec::new(),
        };
        let is_far =
            |id: &InstanceId| self.cluster.peer(id).is_none_or(|it| it.zone != self.own.zone);
        voters.sort_by_key(is_far);
        voters
    }

    /// A receiver that sees every new revision.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// A receiver that sees every configuration that has to be saved before it is in force.
    pub fn unsaved_configurations(&self) -> watch::Receiver<Option<Box<Configuration>>> {
        self.unsaved.subscribe()
    }

    /// Brings a configuration into force that is saved now.
    pub fn configuration_saved(&self, configuration: Box<Configuration>) {
        self.run_follower(follower::Event::Saved(configuration));
    }

    /// The configuration in force here, if a revision is known.
    pub fn configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.current.borrow().clone()
    }

    /// Takes an announcement of an upstream in.
    pub fn apply_announcement(&self, announcement: Announcement) -> Vec<Notice> {
        self.run_membership(membership::Event::Announced(announcement))
    }

    /// Tells peers the own load and state.
    pub fn report_status(&self, status: Status) -> Vec<Notice> {
        self.run_membership(membership::Event::Status(status))
    }

    /// Lets time pass in the common cores.
    pub fn tick(&self) -> Vec<Notice> {
        let silent = self.awaited.borrow_mut().take_unresponsive(self.now());
        silent.iter().for_each(|it| self.reconnect(it));
        self.run_follower(follower::Event::Tick);
        self.run_membership(membership::Event::Tick)
    }

    /// Names whom the follower asks.
    pub fn set_update_sources(&self, sources: Sources) {
        self.run_follower(follower::Event::Sources(sources));
    }

    /// Takes a newer configuration in, as a keeper learns it from its own group.
    pub fn apply_update(&self, update: follower::Update) {
        self.run_follower(follower::Event::Pushed(update));
    }

    /// Confirms the newest revision, as a keeper knows it from its own group.
    pub fn apply_confirmation(&self, confirmation: follower::Confirmation) {
        self.run_follower(follower::Event::Confirmed(confirmation));
    }

    /// Handles what is common to all processes; gives back what is not, and notices.
    pub fn receive(&self, from: InstanceId, message: Message) -> Received {
        self.awaited.borrow_mut().response_received(&from);
        match message {
            Message::Membership(message) => {
                Received::Notices(self.run_membership(membership::Event::Message { from, message }))
            }
            Message::Reply { call, reply } => {
                self.calls.borrow_mut().complete(call, reply);
                Received::Handled
            }
            Message::UpdateRequest(ask) => {
                let answer = self.follower.borrow().answer(self.now(), ask);
                self.send(&from, Message::UpdateResponse(Box::new(answer)));
                Received::Handled
            }
            Message::UpdateResponse(answer) => {
                self.run_follower(follower::Event::ResponseReceived(*answer));
                Received::Handled
            }
            Message::Push(update) => {
                self.run_follower(follower::Event::Pushed(*update));
                Received::Handled
            }
            Message::NothingReceived => {
                self.replace_unheard(&from);
                Received::Handled
            }
            other => Received::Other(from, Box::new(other)),
        }
    }

    fn run_membership(&self, event: membership::Event) -> Vec<Notice> {
        let mut effects = Vec::new();
        self.members.borrow_mut().handle(self.now(), event, &mut effects);
        let mut notices = Vec::new();
        for effect in effects {
            match effect {
                membership::Effect::Send { to, message } => {
                    self.send(&to, Message::Membership(message));
                }
                membership::Effect::Reconnect { peer } => self.reconnect(&peer),
                membership::Effect::Notice(notice) => notices.push(notice),
            }
        }
        notices
    }

    fn run_follower(&self, event: follower::Event) {
        let mut effects = Vec::new();
        self.follower.borrow_mut().handle(self.now(), event, &mut effects);
        for effect in effects {
            match effect {
                follower::Effect::RequestUpdate { source, request } => {
                    self.send(&source, Message::UpdateRequest(request));
                }
                follower::Effect::Save(configuration) => {
                    self.unsaved.send_replace(Some(configuration));
                }
                follower::Effect::Changed(revision) => {
                    tracing::info!(%revision, "configuration in force");
                    self.keep_current();
                    self.revision.send_replace(revision);
                }
            }
        }
    }

    /// Indexes a configuration that has come into force.
    fn keep_current(&self) {
        let newest = self.follower.borrow().configuration().cloned();
        self.current.replace(newest.map(ActiveConfiguration::new).map(Rc::new));
    }

    /// Replaces the own connection to a silent peer, and asks the peer to replace its own.
    ///
    /// A connection carries messages one way, so the silent one is the peer's, and the peer may
    /// hear this instance all the while.
    fn reconnect(&self, peer: &InstanceId) {
        self.replace_link(peer);
        self.send(peer, Message::NothingReceived);
    }

    fn replace_unheard(&self, peer: &InstanceId) {
        let age = self.links.borrow().connection_age(peer);
        if age.is_some_and(|age| age >= MIN_LINK_AGE) {
            self.replace_link(peer);
        }
    }

    fn replace_link(&self, peer: &InstanceId) {
        tracing::info!(%peer, "silent link replaced");
        if let Err(error) = self.links.borrow_mut().reconnect(peer) {
            tracing::warn!(%error, %peer, "failed to replace a link");
        }
    }
}

/// What became of a received message.
#[derive(Debug)]
pub enum Received {
    /// It was handled.
    Handled,
    /// It was handled, and what is known of others changed.
    Notices(Vec<Notice>),
    /// It is for the particular kind of process.
    Other(InstanceId, Box<Message>),
}

/// The voters of the configuration group, and the other instances of the own zone.
fn sources_of(cluster: &ClusterSettings, own: &Peer) -> Sources {
    let voters = cluster.configuration.iter().filter(|it| **it != own.id).cloned().collect();
    let is_peer = |it: &&Peer| {
        it.zone == own.zone && it.id != own.id && !cluster.configuration.contains(&it.id)
    };
    let peers = cluster.instances.iter().filter(is_peer).map(|it| it.id.clone()).collect();
    Sources { voters, peers }
}

/// Number before that of a process's first question and call; each start leaves room for 2^20
/// numbers a millisecond, so a late answer to an earlier start answers nothing of this one.
fn first_number(incarnation: Incarnation) -> u64 {
    incarnation.0 << 20
}

/// Whether the receiver answers at once, in one way or another.
fn calls_for_answer(message: &Message) -> bool {
    matches!(
        message,
        Message::Call { .. } | Message::UpdateRequest(_) | Message::Replication { .. }
    )
}

fn seed_of(cluster: &ClusterSettings, peer: &Peer) -> Seed {
    let kind = match peer.kind {
        PeerKind::Entry => InstanceKind::Entry,
        PeerKind::Keeper => InstanceKind::Keeper,
    };
    let region = cluster.region_of(&peer.zone).cloned().expect("the settings were checked");
    Seed { id: peer.id.clone(), kind, zone: peer.zone.clone(), region }
}
