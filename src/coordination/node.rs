//! The part that entry instances and keepers share: links, calls, membership and the follower of the
//! configuration.
//!
//! All tasks of a process share one [`Node`]. The cores are in `RefCell`s, which are borrowed for the
//! duration of one `handle` call and never across an `await`.

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

/// Counter of messages that could not be queued on the link to a peer.
const UNSENT_MESSAGES: &str = "medlarlug_link_unsent_messages_total";

/// Minimum age of a connection that is replaced at its receiver's request. The receiver may not have
/// had the time to get a message over a younger one.
const MIN_LINK_AGE: Duration = Duration::from_secs(1);

/// State and services that are common to all kinds of processes.
pub struct Node {
    /// The entry of this process in the cluster file.
    pub own: Peer,
    /// Region of this process's zone, by the cluster file.
    pub region: RegionId,
    /// Incarnation of this process, new at each start.
    pub incarnation: Incarnation,
    /// Instances, zones and voters from the cluster file.
    pub cluster: ClusterSettings,
    /// Keys that authenticate the processes of the deployment to each other.
    pub keys: DeploymentKeys,
    /// Source of the time that all cores get.
    pub clock: Clock,
    /// Calls to replication groups whose reply is outstanding.
    pub calls: RefCell<PendingCalls>,
    /// Liveness and state of the other instances, and the known upstreams.
    pub members: RefCell<Membership>,
    /// Follower of the configuration group; holds the configuration in effect here and its lease.
    pub follower: RefCell<Follower>,
    links: RefCell<Links>,
    // Outstanding responses of peers that aren't monitored by heartbeats.
    pending_responses: RefCell<PendingResponses>,
    revision: watch::Sender<Revision>,
    unsaved: watch::Sender<Option<Box<Configuration>>>,
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
}

/// The configuration in effect at this instance, with an index of the bearer keys.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration, as released.
    pub configuration: Configuration,
    // The team of each bearer key, sorted by the fingerprint of the key.
    key_teams: Vec<(Fingerprint, TeamId)>,
}

impl ActiveConfiguration {
    fn new(configuration: Configuration) -> ActiveConfiguration {
        let keys_of_team = |team: &Team| -> Vec<(Fingerprint, TeamId)> {
            team.keys.iter().map(|key| (*key, team.id.clone())).collect()
        };
        let mut key_teams: Vec<(Fingerprint, TeamId)> =
            configuration.teams().flat_map(keys_of_team).collect();
        key_teams.sort();
        ActiveConfiguration { configuration, key_teams }
    }

    /// The team that owns the bearer key with this fingerprint.
    pub fn team_of_key(&self, key: Fingerprint) -> Option<&Team> {
        let found = self.key_teams.binary_search_by(|it| it.0.cmp(&key)).ok()?;
        self.configuration.team(&self.key_teams[found].1)
    }
}

impl Deref for ActiveConfiguration {
    type Target = Configuration;

    fn deref(&self) -> &Configuration {
        &self.configuration
    }
}

impl Node {
    /// Registers all peers and creates the cores; links connect when their first message is sent.
    pub fn new(
        own: Peer,
        cluster: ClusterSettings,
        keys: DeploymentKeys,
        incarnation: Incarnation,
        storage: Storage,
        mut links: Links,
    ) -> Node {
        // The own instance is included: a keeper may call a group that it leads itself.
        for peer in &cluster.instances {
            links.add_peer(peer.id.clone(), peer.peers);
        }
        let seed = |peer: &Peer| seed_of(&cluster, peer);
        let peers = cluster.instances.iter().filter(|it| it.id != own.id).map(seed).collect();
        let settings = membership::Settings { own: seed(&own), incarnation, peers };
        let clock = Clock::start();
        let members = Membership::new(clock.now(), settings);
        let start = initial_number(incarnation);
        let follower = Follower::new(follower::Timing::default(), storage, start);
        let sources = sources_of(&cluster, &own);
        let revision = watch::Sender::new(follower.revision());
        let active = follower.configuration().cloned().map(ActiveConfiguration::new).map(Rc::new);
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
            pending_responses: RefCell::default(),
            revision,
            unsaved: watch::Sender::new(None),
            active: RefCell::new(active),
        };
        node.set_update_sources(sources);
        node
    }

    /// The current reading of [`Node::clock`].
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a message; returns whether the link accepted it, which doesn't mean that it arrives.
    pub fn send(&self, to: &InstanceId, message: Message) -> bool {
        if requires_response(&message) && self.members.borrow().peer(to).is_none() {
            self.pending_responses.borrow_mut().expect_response(self.now(), to);
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

    /// The voters of a group according to the cluster file, those of the own zone first; empty for an
    /// unknown group.
    pub fn voters(&self, group: &GroupId) -> Vec<InstanceId> {
        let mut voters = match group {
            GroupId::Configuration => self.cluster.configuration.clone(),
            GroupId::Home(region) => {
                self.cluster.home(region).map(|it| it.voters.clone()).unwrap_or_default()
            }
            // Its members discover each other by contact addresses, not by the cluster file.
            GroupId::Publication => Vec::new(),
        };
        let is_in_other_zone =
            |id: &InstanceId| self.cluster.peer(id).is_none_or(|it| it.zone != self.own.zone);
        voters.sort_by_key(is_in_other_zone);
        voters
    }

    /// A receiver that is notified when a new revision takes effect here.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// A receiver of the configurations that have to be saved before they take effect.
    pub fn unsaved_configurations(&self) -> watch::Receiver<Option<Box<Configuration>>> {
        self.unsaved.subscribe()
    }

    /// Puts a configuration into effect after it has been saved.
    pub fn configuration_saved(&self, configuration: Box<Configuration>) {
        self.run_follower(follower::Event::Saved(configuration));
    }

    /// The configuration in effect here; `None` until a first revision is known.
    pub fn configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active.borrow().clone()
    }

    /// Applies an announcement that an upstream sent to this instance.
    pub fn apply_announcement(&self, announcement: Announcement) -> Vec<Notice> {
        self.run_membership(membership::Event::Announced(announcement))
    }

    /// Sets the status that is reported to the peers.
    pub fn report_status(&self, status: Status) -> Vec<Notice> {
        self.run_membership(membership::Event::Status(status))
    }

    /// Advances the timers of the follower and the membership, and reconnects to peers whose response
    /// is overdue.
    pub fn tick(&self) -> Vec<Notice> {
        let unresponsive = self.pending_responses.borrow_mut().take_unresponsive(self.now());
        unresponsive.iter().for_each(|it| self.reconnect(it));
        self.run_follower(follower::Event::Tick);
        self.run_membership(membership::Event::Tick)
    }

    /// Sets the instances that the follower sends its update requests to.
    pub fn set_update_sources(&self, sources: Sources) {
        self.run_follower(follower::Event::Sources(sources));
    }

    /// Applies a configuration update that a keeper read from its own replica of the group.
    pub fn apply_update(&self, update: follower::Update) {
        self.run_follower(follower::Event::Pushed(update));
    }

    /// Applies a confirmation of the newest revision that a keeper read from its own group.
    pub fn apply_confirmation(&self, confirmation: follower::Confirmation) {
        self.run_follower(follower::Event::Confirmed(confirmation));
    }

    /// Handles a message that is common to all kinds of processes; returns other messages, and the
    /// notices that result.
    pub fn receive(&self, from: InstanceId, message: Message) -> Received {
        self.pending_responses.borrow_mut().response_received(&from);
        match message {
            Message::Membership(message) => {
                Received::Notices(self.run_membership(membership::Event::Message { from, message }))
            }
            Message::Reply { call, reply } => {
                self.calls.borrow_mut().complete(call, reply);
                Received::Handled
            }
            Message::UpdateRequest(request) => {
                let response = self.follower.borrow().answer(self.now(), request);
                self.send(&from, Message::UpdateResponse(Box::new(response)));
                Received::Handled
            }
            Message::UpdateResponse(response) => {
                self.run_follower(follower::Event::ResponseReceived(*response));
                Received::Handled
            }
            Message::Push(update) => {
                self.run_follower(follower::Event::Pushed(*update));
                Received::Handled
            }
            Message::NothingReceived => {
                self.replace_link_on_request(&from);
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
                    self.activate_configuration();
                    self.revision.send_replace(revision);
                }
            }
        }
    }

    /// Indexes the configuration that has taken effect in the follower.
    fn activate_configuration(&self) {
        let newest = self.follower.borrow().configuration().cloned();
        self.active.replace(newest.map(ActiveConfiguration::new).map(Rc::new));
    }

    /// Replaces the connection to an unresponsive peer, and asks the peer to replace its own.
    ///
    /// A connection carries messages in one direction only. So the broken connection may be the peer's,
    /// while the peer still receives the messages of this instance.
    fn reconnect(&self, peer: &InstanceId) {
        self.replace_link(peer);
        self.send(peer, Message::NothingReceived);
    }

    fn replace_link_on_request(&self, peer: &InstanceId) {
        let age = self.links.borrow().connection_age(peer);
        if age.is_some_and(|age| age >= MIN_LINK_AGE) {
            self.replace_link(peer);
        }
    }

    fn replace_link(&self, peer: &InstanceId) {
        tracing::info!(%peer, "link to unresponsive peer replaced");
        if let Err(error) = self.links.borrow_mut().reconnect(peer) {
            tracing::warn!(%error, %peer, "failed to replace a link");
        }
    }
}

/// The result of [`Node::receive`].
#[derive(Debug)]
pub enum Received {
    /// The message was handled; the caller has nothing left to do.
    Handled,
    /// The message was handled; the notices list what changed in the membership, if anything.
    Notices(Vec<Notice>),
    /// The message was not handled: only some kinds of processes get it.
    Other(InstanceId, Box<Message>),
}

/// The update sources by the cluster file: the voters of the configuration group and the other
/// instances of the own zone. Members of the configuration group replace them.
fn sources_of(cluster: &ClusterSettings, own: &Peer) -> Sources {
    let voters = cluster.configuration.iter().filter(|it| **it != own.id).cloned().collect();
    let is_peer = |it: &&Peer| {
        it.zone == own.zone && it.id != own.id && !cluster.configuration.contains(&it.id)
    };
    let peers = cluster.instances.iter().filter(is_peer).map(|it| it.id.clone()).collect();
    Sources { voters, peers }
}

/// Number below that of the process's first update request and call.
///
/// Each millisecond between two starts leaves room for 2^20 numbers, so a late reply to an earlier
/// process never matches a call of this one.
fn initial_number(incarnation: Incarnation) -> u64 {
    incarnation.0 << 20
}

/// Whether the receiver of the message responds to it immediately, with any kind of message.
fn requires_response(message: &Message) -> bool {
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
