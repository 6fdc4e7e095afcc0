//! A keeper: replicates the route table and the evacuated zones, takes announcements of upstreams
//! in, and passes all news on to whoever has opened a link to it.
//!
//! Requests of operators may reach any keeper. One that does not lead the group passes them to the
//! leader and answers what the leader answers; without a leader it answers that it is unavailable.
//! A read is answered only after the leader has confirmed with a majority that it still leads.

mod facts;
mod loops;
mod requests;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug::{
    coordination::{
        clock::Clock,
        keeper::{
            group::{Caller, Group, Output},
            machine::{Machine, MachineError},
            storage::group_name,
        },
    },
    protocol::{GroupId, GroupReply},
    state::{DataFolder, Journal, StateError, Writer},
    transport::http_server::{self, ServerError},
};
use medlarlug_core::{
    gateway::{
        cold::Suspicions,
        contacts::{Card, Contacts, Part, Status},
        stall_detector::Stall,
        table::RouteTable,
        upstreams::{Effect, Renewal, UpstreamState, Upstreams},
    },
    ids::{InstanceId, ZoneId},
    replication::{Config, MemberKey, Membership, Persist, Replica, Role},
    suspects::{Fact, FactLog},
    time::Time,
};
use thiserror::Error;
use tokio::{
    sync::{oneshot, watch},
    task,
    time::sleep,
};

pub use requests::Unavailable;

use self::facts::KeptFacts;
use crate::{
    keeper_links::{Links, Owner, chain},
    link::{Head, Message, News},
    settings::{LONGEST_AGE, NO_TABLE, NodeSettings, address_of, instance_at},
    subscribers::{Knowledge, Subscribers},
};

/// Heartbeat of the leader. Voters wait for four to eight of them, several round trips between
/// regions.
const HEARTBEAT: Duration = Duration::from_millis(150);

/// Time without a turn after which announcements that have queued count as old: as long as one may
/// be on its way.
const STALL_LIMIT: Duration = Duration::from_millis(300);

/// Why a keeper stops or does not start.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// No folder for durable state was given.
    #[error("a keeper needs a data folder")]
    NoFolder,
    /// The durable state can't be used.
    #[error("failed to open the durable state")]
    State(#[from] StateError),
    /// What is stored can't be decoded.
    #[error("failed to read the replicated state")]
    Machine(#[from] MachineError),
    /// An address can't be listened at.
    #[error(transparent)]
    Server(#[from] ServerError),
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
    /// Requests of this process that wait for their answer, sorted by number.
    calls: RefCell<Vec<(u64, oneshot::Sender<GroupReply>)>>,
    last_call: Cell<u64>,
    head: RefCell<Head>,
    /// When evacuations of zones were withdrawn.
    suspicions: RefCell<Suspicions>,
    /// What entry instances have learned of contents that crash upstreams.
    facts: RefCell<FactLog>,
    /// What of that is on the disk, or on its way there.
    kept: RefCell<KeptFacts>,
    /// The membership that was logged last.
    membership: RefCell<Option<Membership>>,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Stalls of this process, during which announcements queue.
    stall: RefCell<Stall>,
    /// The oldest batch that the disk has not confirmed: its number and when it was handed over.
    unsynced: RefCell<Vec<(u64, Time)>>,
    /// The state machine failed; the process has to end.
    failure: RefCell<Option<MachineError>>,
}

impl Keeper {
    /// Opens the durable state and starts the keeper's loops on the current thread.
    ///
    /// # Errors
    ///
    /// The durable state can't be used, or the internal address can't be listened at.
    pub async fn start(settings: NodeSettings) -> Result<Rc<Keeper>, KeeperError> {
        let clock = Clock::start_after(LONGEST_AGE);
        let path = settings.data.clone().ok_or(KeeperError::NoFolder)?;
        let folder = DataFolder::open(&path, &settings.card.id)?;
        let journal = Journal::open(&folder)?;
        let group = new_group(&settings, &folder, &journal, clock.now())?;
        let mut known = FactLog::default();
        for fact in facts::restore(&journal) {
            known.learn(clock.now(), &fact);
        }
        let (writer, mut reports) = Writer::start_persistent(journal)?;
        let listener = http_server::listen("peers", settings.card.internal).await?;
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
            suspicions: RefCell::default(),
            facts: RefCell::new(known),
            kept: RefCell::default(),
            membership: RefCell::default(),
            table: RefCell::default(),
            stall: RefCell::new(Stall::new(STALL_LIMIT)),
            unsynced: RefCell::default(),
            failure: RefCell::default(),
        });
        keeper.refresh_head();
        keeper.links.follow(&keeper);
        task::spawn_local(loops::accept_links(keeper.clone(), listener));
        let this = keeper.clone();
        task::spawn_local(async move {
            while let Some(report) = reports.recv().await {
                match report {
                    // Nobody waits for the facts.
                    Ok(synced) if synced.group == facts::name() => {}
                    Ok(synced) => this.on_synced(synced.sequence),
                    Err(error) => tracing::warn!(error = %chain(&error), "disk failed"),
                }
            }
        });
        task::spawn_local(loops::tick(keeper.clone()));
        task::spawn_local(loops::tell_news(keeper.clone()));
        Ok(keeper)
    }

    /// Runs until the process has to stop, then hands leadership over.
    ///
    /// # Errors
    ///
    /// The replicated state can't be decoded.
    pub async fn run_until(&self, mut stop: watch::Receiver<bool>) -> Result<(), KeeperError> {
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                () = sleep(loops::TICK) => {}
            }
            if let Some(error) = self.failure.borrow_mut().take() {
                return Err(error.into());
            }
        }
        let deadline = self.now() + HANDOVER_TIME;
        while self.is_leader() && self.now() < deadline {
            self.run(|group, now, out| group.transfer(now, out));
            sleep(HANDOVER_PAUSE).await;
        }
        Ok(())
    }

    /// Takes changed settings over: other contacts.
    pub fn reload(self: &Rc<Keeper>, settings: NodeSettings) {
        *self.settings.borrow_mut() = settings;
        self.links.follow(self);
    }

    /// The keeper's availability zone.
    pub fn zone(&self) -> ZoneId {
        self.settings.borrow().card.zone.clone()
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn is_leader(&self) -> bool {
        self.group.borrow().is_leader()
    }

    fn on_synced(&self, sequence: u64) {
        self.unsynced.borrow_mut().retain(|it| it.0 > sequence);
        self.run(|group, now, out| group.persisted(now, sequence, out));
    }

    /// Feeds the group and carries out what it asks for.
    fn run<F>(&self, feed: F)
    where
        F: FnOnce(&mut Group, Time, &mut Vec<Output>) -> Result<(), MachineError>,
    {
        let mut out = Vec::new();
        let result = feed(&mut self.group.borrow_mut(), self.now(), &mut out);
        if let Err(error) = result {
            tracing::error!(error = %chain(&error), "the replicated state can't be decoded");
            *self.failure.borrow_mut() = Some(error);
        }
        let mut is_changed = false;
        for output in out {
            match output {
                Output::Send { to, message } => self.send(&to, message),
                Output::Persist(batch) => self.persist(batch),
                Output::Reply { caller, reply } => self.reply(caller, reply),
                Output::Applied => is_changed = true,
                Output::Role { role, term } => {
                    tracing::info!(?role, term = term.0, "role changed");
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

    /// Logs the membership when it has changed.
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
        let port = self.settings.borrow().card.internal.port();
        if let Some(address) = address_of(to, port) {
            self.links.send(address, &Message::Replication(message));
        }
    }

    fn persist(&self, batch: Persist) {
        self.unsynced.borrow_mut().push((batch.sequence, self.now()));
        self.writer.persist(group_name(&GroupId::Publication), batch);
    }

    fn reply(&self, caller: Caller, reply: GroupReply) {
        if caller.instance == self.settings.borrow().card.id {
            return self.answer(caller.call, reply);
        }
        let message = Message::Reply { call: caller.call, reply };
        self.subscribers.borrow().send(&caller.instance, &message);
    }

    /// Takes over what the state machine has applied.
    fn refresh_head(&self) {
        let group = self.group.borrow();
        let Some(publication) = group.machine().publication() else { return };
        let head = Head {
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
                    tracing::error!(error = %chain(&error), "the table in force can't be read");
                }
            }
        }
        let restored = head.evacuations().restored_since(self.head.borrow().evacuations());
        let restored = restored.unwrap_or_else(|| {
            // After a start, or a snapshot, nobody tells when that was.
            let settings = self.settings.borrow();
            settings.zones.iter().map(|it| it.0.clone()).collect()
        });
        let now = self.now();
        restored.iter().for_each(|zone| self.suspicions.borrow_mut().restored(now, zone));
        *self.head.borrow_mut() = head;
    }

    /// Sends everyone the news that they lack.
    fn push(&self) {
        let mut subscribers = self.subscribers.borrow_mut();
        let head = self.head.borrow();
        let upstreams = self.upstreams.borrow();
        let contacts = self.contacts.borrow();
        let suspicions = self.suspicions.borrow();
        let knowledge = Knowledge {
            upstreams: &upstreams,
            contacts: &contacts,
            head: &head,
            suspicions: &suspicions,
            facts: &self.facts.borrow(),
        };
        subscribers.push(self.now(), knowledge);
    }

    fn on_news(&self, from: SocketAddr, news: News) {
        let now = self.now();
        // News that queued during a stall are older than they say.
        let late = self.stall.borrow().age(now);
        let mut is_changed = false;
        {
            let mut upstreams = self.upstreams.borrow_mut();
            for (upstream, age) in news.upstreams {
                let age = Duration::from_millis(age.into()) + late;
                let upstream = upstream.read_late(late);
                let is_gone = upstream.state == UpstreamState::Gone;
                let id = upstream.id.clone();
                let effect = match is_gone {
                    true => upstreams.leave_unknown(now, upstream),
                    false => upstreams.announce(now, upstream, age),
                };
                if effect == Effect::Changed {
                    tracing::debug!(upstream = %id, %from, "upstream changed, by another keeper");
                    is_changed = true;
                }
            }
            let late_ms = u32::try_from(late.as_millis()).unwrap_or(u32::MAX);
            for renewal in news.renewals {
                let age_ms = renewal.age_ms.saturating_add(late_ms);
                upstreams.renew(now, &Renewal { age_ms, ..renewal });
            }
            let mut contacts = self.contacts.borrow_mut();
            let keepers = news.contacts.into_iter().filter(|it| it.0.part == Part::Keeper);
            for (card, _, age) in keepers {
                let age = Duration::from_millis(age.into());
                contacts.hear(now, card, None, age);
            }
        }
        is_changed |= self.learn_facts(&news.facts);
        self.links.send(from, &Message::Seen(news.number));
        if is_changed {
            self.push();
        }
    }

    /// Takes in what is known of contents that crash upstreams; tells whether any of it is new.
    fn learn_facts(&self, facts: &[Fact]) -> bool {
        let now = self.now();
        let mut known = self.facts.borrow_mut();
        let new = facts.iter().filter(|fact| known.learn(now, fact));
        let is_new = new.count() > 0;
        drop(known);
        if is_new {
            self.keep_facts();
        }
        is_new
    }

    /// Writes down what has to outlive a loss of power, if it has changed.
    fn keep_facts(&self) {
        let facts = self.facts.borrow().repeated_losses(self.now());
        if let Some(batch) = self.kept.borrow_mut().batch(facts) {
            self.writer.persist(facts::name(), batch);
        }
    }

    /// A message that came over a link that the peer opened.
    fn on_subscriber(&self, link: u64, card: &Card, message: Message) {
        let now = self.now();
        match message {
            Message::Ping { status, is_primary } => {
                self.subscribers.borrow_mut().set_primary(link, is_primary);
                let mut contacts = self.contacts.borrow_mut();
                let was_ready = contacts.get(&card.id).is_some_and(|it| it.status.ready);
                if was_ready != status.ready {
                    tracing::info!(instance = %card.id, ready = status.ready, "readiness changed");
                }
                contacts.hear(now, card.clone(), Some(status), Duration::ZERO);
                self.subscribers.borrow().send(&card.id, &Message::Pong);
            }
            Message::Seen(number) => self.subscribers.borrow_mut().seen(link, number),
            Message::Fetch(version) => {
                let group = self.group.borrow();
                let Some(publication) = group.machine().publication() else { return };
                if publication.version() < version {
                    return;
                }
                let version = publication.version();
                let bytes = publication.document().to_vec();
                let document = Message::Document { version, bytes };
                self.subscribers.borrow().send(&card.id, &document);
            }
            Message::Replication(message) => {
                let from = card.id.clone();
                self.run(|group, now, out| group.receive(now, from, message, out));
            }
            Message::Leaving { upstream, birth } => {
                let effect = self.upstreams.borrow_mut().leaves(&upstream, birth);
                if effect == Effect::Changed {
                    let birth = birth.0;
                    tracing::info!(%upstream, birth, instance = %card.id, "upstream leaves, by its answer");
                    self.push();
                }
            }
            Message::Facts(facts) => {
                // Clearances are many after a crash, and can wait for the next round of news.
                let is_urgent = facts.iter().any(|fact| matches!(fact, Fact::Lost(_)));
                if self.learn_facts(&facts) && is_urgent {
                    self.push();
                }
            }
            Message::Call { call, request } => {
                let caller = Caller { instance: card.id.clone(), call };
                self.run(|group, now, out| group.call(now, caller, request, out));
            }
            Message::Hello(_)
            | Message::Pong
            | Message::News(_)
            | Message::Document { .. }
            | Message::Reply { .. } => {
                tracing::warn!(instance = %card.id, "unexpected message");
            }
        }
    }
}

/// Time in which a leader that stops hands over: a few round trips between regions.
const HANDOVER_TIME: Duration = Duration::from_millis(1_200);
/// Pause between two looks at whether another member leads.
const HANDOVER_PAUSE: Duration = Duration::from_millis(100);

impl Owner for Keeper {
    fn card(&self) -> Card {
        self.settings.borrow().card.clone()
    }

    fn status(&self) -> Status {
        Status::default()
    }

    fn is_primary(&self, _: SocketAddr) -> bool {
        true
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let port = settings.card.internal.port();
        let group = self.group.borrow();
        let members = group.replica().membership().map(|it| it.members()).unwrap_or_default();
        let members = members.iter().filter_map(|member| address_of(&member.key.id, port));
        let contacts = self.contacts.borrow();
        let heard = contacts.all().iter().filter(|it| it.card.part == Part::Keeper);
        let mut all: Vec<SocketAddr> = settings.contacts.clone();
        all.extend(members);
        all.extend(heard.map(|it| it.card.internal));
        all.sort();
        all.dedup();
        all
    }

    /// Other keepers tell each renewal, so nothing rests on what a link has told.
    fn opened(&self, _: SocketAddr) {}

    fn receive(&self, from: SocketAddr, message: Message) {
        match message {
            Message::News(news) => self.on_news(from, news),
            Message::Reply { call, reply } => self.answer(call, reply),
            Message::Pong => {}
            _ => tracing::warn!(keeper = %from, "unexpected message"),
        }
    }
}

fn new_group(
    settings: &NodeSettings,
    folder: &DataFolder,
    journal: &Journal,
    now: Time,
) -> Result<Group, MachineError> {
    let id = GroupId::Publication;
    let restored = journal.group(&group_name(&id));
    let mut machine = Machine::new(&id);
    if let Some(snapshot) = &restored.snapshot {
        machine.restore(&id, &snapshot.data)?;
    }
    let key = MemberKey { id: settings.card.id.clone(), storage: folder.storage() };
    let founders = settings.contacts.iter().filter_map(|it| instance_at(it.ip()).ok()).collect();
    let voters = 2 * settings.tolerance + 1;
    let mut config = Config::new(key, founders).with_heartbeat(HEARTBEAT).open(voters);
    config.may_form = settings.first_start;
    let replica = Replica::new(config, restored, rand::random(), now);
    Ok(Group::new(id, replica, machine))
}
