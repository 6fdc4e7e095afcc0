//! A keeper: replicates the route table and the evacuated zones, receives the announcements of
//! upstreams, and sends updates to all processes that have opened a link to it.
//!
//! Operators may send requests to any keeper. A keeper that is not the leader passes them to the
//! leader and returns its answer; without a leader it answers that it is unavailable. A read is
//! answered only after a majority has confirmed that the leader still leads.

mod facts;
mod loops;
mod requests;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use medlarlug::{
    coordination::{
        clock::Clock,
        keeper::{
            group::{Caller, Group, Output},
            machine::{StateMachine, StateMachineError},
            storage::group_name,
        },
    },
    protocol::{GroupId, GroupReply},
    state::{DataFolder, Journal, StateError, Writer},
    transport::http_server::{self, ServerError},
};
use medlarlug_core::{
    gateway::{
        cold::ColdDetector,
        contacts::{Contacts, InstanceInfo, InstanceKind, Scope, Status},
        evacuation_orders::EvacuationLog,
        publication::Publication,
        stall_detector::StallDetector,
        table::{HostHomes, RouteTable, TableVersion},
        table_lease::{TableLease, TableReport},
        upstreams::{Effect, Renewal, UpstreamState, Upstreams},
    },
    ids::{InstanceId, RegionId, ZoneId},
    replication::{Config, MemberKey, Membership, Persist, Replica, Role},
    suspects::{Fact, FactLog},
    time::Time,
};
use thiserror::Error;
use tokio::{
    sync::{Notify, oneshot, watch},
    task,
    time::sleep,
};

pub use requests::Unavailable;

use self::facts::FactStore;
use crate::{
    keeper_links::{LinkOwner, Links, error_chain},
    link::{self, Message, PublicationHead, Update},
    packed::PackedDocument,
    settings::{MAX_UPDATE_AGE, NO_TABLE, NodeSettings, address_of, instance_at},
    subscribers::{KeeperState, Subscribers},
};

/// Heartbeat interval of the leader. Voters start an election after four to eight intervals, which
/// is several round trips between regions.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without processor time after which queued announcements are considered old: as long as an
/// announcement may be in transit.
const STALL_LIMIT: Duration = Duration::from_millis(300);

/// Why a keeper stops or fails to start.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The settings name no data directory.
    #[error("no data directory configured; a keeper needs one")]
    NoFolder,
    /// The durable state can't be opened.
    #[error("failed to open the durable state")]
    State(#[from] StateError),
    /// The stored or replicated state can't be decoded.
    #[error("failed to read the replicated state")]
    Machine(#[from] StateMachineError),
    /// An address can't be bound.
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// The scope of an answer of the directory.
struct LoggedScope {
    region: RegionId,
    /// `None` for all hosts that the table doesn't contain.
    homes: Option<HostHomes>,
    scope: Scope,
}

impl LoggedScope {
    /// What the list of scopes is sorted by.
    fn key(&self) -> (&RegionId, Option<&HostHomes>) {
        (&self.region, self.homes.as_ref())
    }
}

/// A running keeper.
pub struct Keeper {
    settings: RefCell<NodeSettings>,
    clock: Clock,
    started: Time,
    group: RefCell<Group>,
    writer: Writer,
    _folder: DataFolder,
    upstreams: RefCell<Upstreams>,
    contacts: RefCell<Contacts>,
    subscribers: RefCell<Subscribers>,
    links: Links,
    /// Requests of this process that wait for the answer of the leader, sorted by number.
    calls: RefCell<Vec<(u64, oneshot::Sender<GroupReply>)>>,
    last_call: Cell<u64>,
    head: RefCell<PublicationHead>,
    /// When each zone was last evacuated or taken back, to tell late orders.
    evacuations: RefCell<EvacuationLog>,
    /// When the evacuation of each zone was withdrawn.
    cold_detector: RefCell<ColdDetector>,
    /// Facts from entry instances about contents that crash upstreams.
    facts: RefCell<FactLog>,
    /// The facts that are on disk, or being written.
    stored_facts: RefCell<FactStore>,
    /// The membership that was last logged.
    membership: RefCell<Option<Membership>>,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// For how long the home regions of the table may be relied on.
    lease: RefCell<TableLease>,
    /// The newest version of the table that a majority has confirmed, and when that was requested.
    confirmed: Cell<Option<(TableVersion, Time)>>,
    /// Wakes the task that confirms the table.
    confirm: Notify,
    /// The newest table that was fetched, encoded in the forms that were asked for. All links share them.
    documents: RefCell<Vec<EncodedDocument>>,
    /// Stalls of this process, during which announcements queue.
    stall: RefCell<StallDetector>,
    /// The scope of the directory's last answer by region of the caller and homes, sorted; for the log.
    scopes: RefCell<Vec<LoggedScope>>,
    /// Error after which the process has to end.
    failure: RefCell<Option<KeeperError>>,
}

impl Keeper {
    /// Opens the durable state and starts the background tasks of the keeper on the current thread.
    ///
    /// # Errors
    ///
    /// The durable state can't be used, or the internal address can't be bound.
    pub async fn start(settings: NodeSettings) -> Result<Rc<Keeper>, KeeperError> {
        let clock = Clock::start_with_offset(MAX_UPDATE_AGE);
        let path = settings.data.clone().ok_or(KeeperError::NoFolder)?;
        let folder = DataFolder::open(&path, &settings.info.id)?;
        let journal = Journal::open(&folder)?;
        let group = new_group(&settings, &folder, &journal, clock.now())?;
        let mut facts = FactLog::default();
        for fact in facts::restore(&journal) {
            facts.apply(clock.now(), &fact);
        }
        let (writer, mut sync_reports) = Writer::start(journal)?;
        let lease = RefCell::new(TableLease::new(settings.table_bounds));
        let address = settings.listener.unwrap_or(settings.info.internal);
        let listener = http_server::listen("peers", address).await?;
        let keeper = Rc::new(Keeper {
            settings: RefCell::new(settings),
            clock,
            started: clock.now(),
            group: RefCell::new(group),
            writer,
            _folder: folder,
            upstreams: RefCell::default(),
            contacts: RefCell::default(),
            subscribers: RefCell::default(),
            links: Links::default(),
            calls: RefCell::default(),
            last_call: Cell::new(0),
            head: RefCell::default(),
            evacuations: RefCell::default(),
            cold_detector: RefCell::default(),
            facts: RefCell::new(facts),
            stored_facts: RefCell::default(),
            membership: RefCell::default(),
            table: RefCell::default(),
            lease,
            confirmed: Cell::default(),
            confirm: Notify::new(),
            documents: RefCell::default(),
            stall: RefCell::new(StallDetector::new(STALL_LIMIT)),
            scopes: RefCell::default(),
            failure: RefCell::default(),
        });
        keeper.refresh_head();
        keeper.links.connect_new(&keeper);
        task::spawn_local(loops::accept_links(keeper.clone(), listener));
        let this = keeper.clone();
        task::spawn_local(async move {
            while let Some(report) = sync_reports.recv().await {
                match report {
                    // Nothing waits for the facts to become durable.
                    Ok(synced) if synced.group == facts::name() => {}
                    Ok(synced) => this.on_synced(synced.sequence),
                    Err(error) => tracing::warn!(error = %error_chain(&error), "disk failed"),
                }
            }
            *this.failure.borrow_mut() = Some(StateError::WriterEnded.into());
        });
        task::spawn_local(loops::tick(keeper.clone()));
        task::spawn_local(loops::push_updates(keeper.clone()));
        task::spawn_local(loops::confirm_table(keeper.clone()));
        Ok(keeper)
    }

    /// Runs until the process has to stop, then transfers leadership.
    ///
    /// # Errors
    ///
    /// The replicated state can't be decoded, or nothing can be stored any more.
    pub async fn run_until(&self, mut stop: watch::Receiver<bool>) -> Result<(), KeeperError> {
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                () = sleep(loops::TICK_INTERVAL) => {}
            }
            if let Some(error) = self.failure.borrow_mut().take() {
                return Err(error);
            }
        }
        let deadline = self.now() + LEADERSHIP_TRANSFER_TIMEOUT;
        while self.is_leader() && self.now() < deadline {
            self.drive_group(|group, now, out| group.transfer(now, out));
            sleep(LEADERSHIP_TRANSFER_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Applies changed settings. New contacts are connected to at once.
    pub fn reload(self: &Rc<Keeper>, settings: NodeSettings) {
        self.lease.borrow_mut().set_bounds(settings.table_bounds);
        *self.settings.borrow_mut() = settings;
        self.links.connect_new(self);
    }

    /// The availability zone of this keeper.
    pub fn zone(&self) -> ZoneId {
        self.settings.borrow().info.zone.clone()
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// The newest table as an encoded [`Message::PackedDocument`] or [`Message::Document`].
    fn encoded_document(
        &self,
        publication: &Publication,
        is_packed: bool,
    ) -> Result<Bytes, EncodeError> {
        let version = publication.version();
        let mut documents = self.documents.borrow_mut();
        documents.retain(|it| it.version == version);
        if let Some(known) = documents.iter().find(|it| it.is_packed == is_packed) {
            return Ok(known.frame.clone());
        }
        let bytes = publication.document();
        let message = match is_packed {
            true => Message::PackedDocument { version, document: PackedDocument::pack(bytes)? },
            false => Message::Document { version, bytes: bytes.to_vec() },
        };
        let frame = link::encode(&message)?;
        documents.push(EncodedDocument { version, is_packed, frame: frame.clone() });
        Ok(frame)
    }

    fn is_leader(&self) -> bool {
        self.group.borrow().is_leader()
    }

    fn on_synced(&self, sequence: u64) {
        self.drive_group(|group, now, out| group.persisted(now, sequence, out));
    }

    /// Passes an input to the group and carries out its outputs.
    fn drive_group<F>(&self, feed: F)
    where
        F: FnOnce(&mut Group, Time, &mut Vec<Output>) -> Result<(), StateMachineError>,
    {
        let mut out = Vec::new();
        let result = feed(&mut self.group.borrow_mut(), self.now(), &mut out);
        if let Err(error) = result {
            tracing::error!(error = %error_chain(&error), "failed to decode the replicated state");
            *self.failure.borrow_mut() = Some(error.into());
        }
        let mut is_changed = false;
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, message),
                Output::Persist(batch) => self.persist(batch),
                Output::Reply { caller, reply } => self.reply(caller, reply),
                Output::Applied => is_changed = true,
                Output::RoleChanged { role, term } => {
                    tracing::info!(?role, term = term.0, "role changed");
                    self.confirm.notify_one();
                    if role == Role::Leader {
                        is_changed = true;
                    }
                }
            }
        }
        self.log_membership();
        if is_changed {
            self.refresh_head();
            self.push();
        }
    }

    /// Logs the membership if it has changed.
    fn log_membership(&self) {
        let group = self.group.borrow();
        let members = group.replica().membership();
        let mut logged = self.membership.borrow_mut();
        if members == logged.as_ref() {
            return;
        }
        if let Some(members) = members {
            let ids = members.members().iter().map(|it| format!("{}:{:?}", it.key.id, it.role));
            let (ids, voters) = (ids.collect::<Vec<_>>().join(","), members.voters().count());
            tracing::info!(voters, members = %ids, "membership changed");
        }
        *logged = members.cloned();
    }

    fn send(&self, to: &InstanceId, message: medlarlug_core::replication::Message) {
        let port = self.settings.borrow().info.internal.port();
        if let Some(address) = address_of(to, port) {
            self.links.send(address, &Message::Replication(message));
        }
    }

    fn persist(&self, batch: Persist) {
        self.writer.persist(group_name(&GroupId::Publication), batch);
    }

    fn reply(&self, caller: Caller, reply: GroupReply) {
        if caller.instance == self.settings.borrow().info.id {
            return self.complete_call(caller.call, reply);
        }
        let message = Message::Reply { call: caller.call, reply };
        self.subscribers.borrow().send(&caller.instance, &message);
    }

    /// Updates the head and the table from the state machine.
    fn refresh_head(&self) {
        let group = self.group.borrow();
        let Some(publication) = group.state_machine().publication() else { return };
        let head = PublicationHead {
            version: publication.version(),
            round: publication.round(),
            evacuated: publication.evacuated().to_vec(),
        };
        if *self.head.borrow() == head {
            return;
        }
        tracing::info!(
            version = head.version.0,
            evacuated = ?head.evacuated,
            round = head.round,
            "replicated state applied"
        );
        if head.version != self.head.borrow().version && head.version > NO_TABLE {
            let read = self.settings.borrow().read_table;
            match read(publication.document()) {
                Ok(table) => *self.table.borrow_mut() = Some(Rc::new(table)),
                Err(error) => {
                    tracing::error!(error = %error_chain(&error), "failed to parse the table in effect");
                }
            }
        }
        let before = self.head.borrow().clone();
        if before.version != head.version {
            self.confirm.notify_one();
        }
        self.evacuations.borrow_mut().observe(before.evacuations(), head.evacuations());
        let restored = head.evacuations().restored_since(before.evacuations());
        let restored = restored.unwrap_or_else(|| {
            // After a start or a snapshot it is unknown which zones were restored since, so all
            // count as restored now.
            let settings = self.settings.borrow();
            settings.zones.iter().map(|it| it.0.clone()).collect()
        });
        let now = self.now();
        restored.iter().for_each(|zone| self.cold_detector.borrow_mut().zone_restored(now, zone));
        *self.head.borrow_mut() = head;
    }

    /// Sends each subscriber the changes that it has not been sent yet.
    fn push(&self) {
        let mut subscribers = self.subscribers.borrow_mut();
        let head = self.head.borrow();
        let upstreams = self.upstreams.borrow();
        let contacts = self.contacts.borrow();
        let cold_detector = self.cold_detector.borrow();
        let state = KeeperState {
            upstreams: &upstreams,
            contacts: &contacts,
            head: &head,
            cold_detector: &cold_detector,
            facts: &self.facts.borrow(),
        };
        subscribers.push(self.now(), state);
    }

    fn on_update(&self, from: SocketAddr, mut update: Update) {
        let now = self.now();
        // Updates that were queued during a stall are older than they state.
        let time_queued = self.stall.borrow().max_message_age(now);
        let mut is_changed = false;
        {
            let mut upstreams = self.upstreams.borrow_mut();
            for (upstream, age) in update.take_upstreams() {
                let age = age + time_queued;
                let upstream = upstream.extend_cold(time_queued);
                let is_gone = upstream.state == UpstreamState::Gone;
                let id = upstream.id.clone();
                let effect = match is_gone {
                    true => upstreams.mark_unknown_gone(now, upstream),
                    false => upstreams.announce(now, upstream, age),
                };
                if effect == Effect::Changed {
                    tracing::debug!(upstream = %id, %from, "upstream changed, reported by another keeper");
                    is_changed = true;
                }
            }
            let time_queued_ms = u32::try_from(time_queued.as_millis()).unwrap_or(u32::MAX);
            for renewal in update.renewals {
                let age_ms = renewal.age_ms.saturating_add(time_queued_ms);
                upstreams.renew(now, &Renewal { age_ms, ..renewal });
            }
            let mut contacts = self.contacts.borrow_mut();
            let keepers =
                update.contacts.into_iter().filter(|it| it.0.kind == InstanceKind::Keeper);
            for (info, _, age) in keepers {
                let age = Duration::from_millis(age.into());
                contacts.update(now, info, None, age);
            }
        }
        is_changed |= self.apply_facts(&update.facts);
        self.links.send(from, &Message::Acknowledged(update.number));
        if is_changed {
            self.push();
        }
    }

    /// Applies facts about contents that crash upstreams; returns whether any of them is new.
    fn apply_facts(&self, facts: &[Fact]) -> bool {
        let now = self.now();
        let mut known = self.facts.borrow_mut();
        let new = facts.iter().filter(|fact| known.apply(now, fact));
        let (mut is_new, mut has_crash) = (false, false);
        for fact in new {
            is_new = true;
            has_crash |= matches!(fact, Fact::Crashed(_));
        }
        drop(known);
        // A clearance that is lost with the power only keeps a content from running for longer.
        if has_crash {
            self.store_facts();
        }
        is_new
    }

    /// Writes the facts that must survive a loss of power, if they have changed.
    fn store_facts(&self) {
        let Some(facts) = self.facts.borrow_mut().take_changed_crashes(self.now()) else { return };
        if let Some(batch) = self.stored_facts.borrow_mut().batch(facts) {
            self.writer.persist(facts::name(), batch);
        }
    }

    /// Handles a message on a link that the peer opened.
    fn on_subscriber_message(&self, link: u64, info: &InstanceInfo, message: Message) {
        let now = self.now();
        match message {
            Message::Ping { status, is_primary, number } => {
                self.subscribers.borrow_mut().set_primary(link, is_primary);
                let mut contacts = self.contacts.borrow_mut();
                let was_ready = contacts.get(&info.id).is_some_and(|it| it.status.ready);
                if was_ready != status.ready {
                    tracing::info!(instance = %info.id, ready = status.ready, "readiness changed");
                }
                contacts.update(now, info.clone(), Some(status), Duration::ZERO);
                let pong = Message::Pong { number, table: self.table_report() };
                self.subscribers.borrow().send_over(link, &pong);
            }
            Message::Acknowledged(number) => {
                self.subscribers.borrow_mut().acknowledged(link, number)
            }
            Message::Fetch { version, accepts_packed } => {
                let group = self.group.borrow();
                let Some(publication) = group.state_machine().publication() else { return };
                if publication.version() < version {
                    return;
                }
                match self.encoded_document(publication, accepts_packed) {
                    // Over the link of the request, whose progress the receiver watches.
                    Ok(frame) => self.subscribers.borrow().send_frame(link, frame),
                    Err(error) => {
                        tracing::error!(error = %error_chain(&error), "failed to encode the table");
                    }
                }
            }
            Message::Replication(message) => {
                let from = info.id.clone();
                self.drive_group(|group, now, out| group.receive(now, from, message, out));
            }
            Message::Leaving { upstream, birth } => {
                let effect = self.upstreams.borrow_mut().mark_draining(&upstream, birth);
                if effect == Effect::Changed {
                    let birth = birth.0;
                    tracing::info!(%upstream, birth, instance = %info.id, "upstream announced in an answer that it is leaving");
                    self.push();
                }
            }
            Message::Facts(facts) => {
                // Clearances are numerous after a crash, and can wait for the next round of
                // updates.
                let is_urgent = facts.iter().any(|fact| matches!(fact, Fact::Crashed(_)));
                if self.apply_facts(&facts) && is_urgent {
                    self.push();
                }
            }
            Message::Call { call, request, known_round } => {
                let caller = Caller { instance: info.id.clone(), call };
                self.call_group(caller, request, known_round);
            }
            Message::Hello(_)
            | Message::Pong { .. }
            | Message::Update(_)
            | Message::Document { .. }
            | Message::PackedDocument { .. }
            | Message::Reply { .. } => {
                tracing::warn!(instance = %info.id, "unexpected message");
            }
        }
    }
}

/// A table as a message to entry instances.
#[derive(Debug)]
struct EncodedDocument {
    version: TableVersion,
    is_packed: bool,
    frame: Bytes,
}

/// Why a table could not be encoded.
#[derive(Debug, Error)]
enum EncodeError {
    #[error("failed to compress the document")]
    Pack(#[from] io::Error),
    #[error("failed to encode the message")]
    Message(#[from] postcard::Error),
}

/// Time within which a stopping leader transfers leadership: a few round trips between regions.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two checks whether another member leads.
const LEADERSHIP_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl LinkOwner for Keeper {
    fn now(&self) -> Time {
        self.now()
    }

    fn info(&self) -> InstanceInfo {
        self.settings.borrow().info.clone()
    }

    fn status(&self) -> Status {
        Status::default()
    }

    fn is_primary(&self, _: SocketAddr) -> bool {
        true
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let port = settings.info.internal.port();
        let group = self.group.borrow();
        let members = group.replica().membership().map(|it| it.members()).unwrap_or_default();
        let members = members.iter().filter_map(|member| address_of(&member.key.id, port));
        let contacts = self.contacts.borrow();
        let known = contacts.all().iter().filter(|it| it.info.kind == InstanceKind::Keeper);
        let mut all: Vec<SocketAddr> = settings.contacts.clone();
        all.extend(members);
        all.extend(known.map(|it| it.info.internal));
        all.sort();
        all.dedup();
        all
    }

    /// Other keepers send each renewal individually, so there is no state of the link to reset.
    fn link_opened(&self, _: SocketAddr) {}

    /// A keeper asks the leader itself.
    fn table_reported(&self, _: SocketAddr, _: Time, _: TableReport) {}

    fn receive(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Update(update) => self.on_update(from, update),
            Message::Reply { call, reply } => self.complete_call(call, reply),
            Message::Pong { .. } => {}
            _ => tracing::warn!(keeper = %from, "unexpected message"),
        }
    }
}

fn new_group(
    settings: &NodeSettings,
    folder: &DataFolder,
    journal: &Journal,
    now: Time,
) -> Result<Group, StateMachineError> {
    let id = GroupId::Publication;
    let restored = journal.group(&group_name(&id));
    let mut machine = StateMachine::new(&id);
    if let Some(snapshot) = &restored.snapshot {
        machine.restore(&id, &snapshot.data)?;
    }
    let key = MemberKey { id: settings.info.id.clone(), storage: folder.storage() };
    let founders = settings.contacts.iter().filter_map(|it| instance_at(it.ip()).ok()).collect();
    let voters = 2 * settings.tolerance + 1;
    let mut config =
        Config::new(key, founders).with_heartbeat_interval(HEARTBEAT_INTERVAL).open(voters);
    config.may_form = settings.first_start;
    let replica = Replica::new(config, restored, rand::random(), now);
    Ok(Group::new(id, replica, machine))
}
