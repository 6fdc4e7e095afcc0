//! Deterministic simulation of a group of replicas with their clocks, disks and network.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use medlarlug_core::{
    ids::{InstanceId, LogIndex, Term},
    replication::{
        Change, Config, Effect, Entry, Event, Member, MemberKey, MemberRole, Membership, Message,
        Payload, Persist, Replica, Role, StorageId, StoredState,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

use super::history::History;

/// Safeguard that the simulation breaks on purpose, so that the checks can be tested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Storage confirms before it has synced.
    EarlySync,
    /// Storage loses the vote at a crash.
    LostVote,
    /// A wiped replica keeps the id of its former storage.
    KeptStorageId,
    /// The embedding program answers reads without a quorum round of the replica.
    LocalRead,
}

pub struct Node {
    pub id: InstanceId,
    pub key: MemberKey,
    pub durable: bool,
    pub replica: Option<Replica>,
    pub applied: Vec<u64>,
    pub is_leader: bool,
    disk: StoredState,
    unsynced: Vec<Persist>,
    /// Whether the disk is full: nothing is synced until it has room again.
    full: bool,
    frozen: bool,
    backlog: Vec<Event>,
    /// Rate of the node's clock in thousandths of the simulated time.
    clock_permille: u64,
    start_count: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledAction {
    at: u64,
    order: u64,
    node: usize,
    slot: usize,
}

enum Action {
    Deliver { from: InstanceId, message: Message, start: Option<u64> },
    Sync { sequence: u64, start: u64 },
    Tick { start: u64 },
}

/// Behaviour of the network and the disks. Messages are dropped and duplicated with a probability;
/// delays are drawn between a minimum and a maximum.
#[derive(Debug, Clone, Copy)]
pub struct NetworkConditions {
    pub drop: f64,
    pub duplicate: f64,
    pub delay_micros: (u64, u64),
    pub sync_micros: (u64, u64),
}

pub const RELIABLE: NetworkConditions = NetworkConditions {
    drop: 0.0,
    duplicate: 0.0,
    delay_micros: (500, 5_000),
    sync_micros: (500, 4_000),
};
pub const UNRELIABLE: NetworkConditions = NetworkConditions {
    drop: 0.08,
    duplicate: 0.05,
    delay_micros: (500, 80_000),
    sync_micros: (500, 60_000),
};

const TICK_MICROS: u64 = 25_000;

pub struct Cluster {
    pub nodes: Vec<Node>,
    /// Simulated time in microseconds.
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub network: NetworkConditions,
    pub fault: Fault,
    pub history: History,
    pub configure: fn(&mut Config),
    founders: Vec<InstanceId>,
    blocked_links: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    actions: Vec<Option<Action>>,
    free_slots: Vec<usize>,
    order: u64,
    last_storage: u64,
}

impl Cluster {
    /// Creates one founder for each element of `durable`, then one spare instance that is no founder.
    pub fn new(seed: u64, durable: &[bool], fault: Fault, configure: fn(&mut Config)) -> Cluster {
        let names = ["a", "b", "c", "d", "e"];
        let founders: Vec<InstanceId> =
            names[..durable.len()].iter().map(|name| id(name)).collect();
        let mut cluster = Cluster {
            nodes: Vec::new(),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: RELIABLE,
            fault,
            history: History::default(),
            configure,
            founders: founders.clone(),
            blocked_links: Vec::new(),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            free_slots: Vec::new(),
            order: 0,
            last_storage: 0,
        };
        let spare = [(id("spare"), true)];
        let all = founders.into_iter().zip(durable.iter().copied()).chain(spare);
        for (id, durable) in all {
            let key = MemberKey { id: id.clone(), storage: StorageId(0) };
            let clock_permille = cluster.rng.random_range(950..1_050);
            cluster.nodes.push(Node {
                id,
                key,
                durable,
                replica: None,
                applied: Vec::new(),
                is_leader: false,
                disk: StoredState::default(),
                unsynced: Vec::new(),
                full: false,
                frozen: false,
                backlog: Vec::new(),
                clock_permille,
                start_count: 0,
            });
        }
        for node in 0..cluster.nodes.len() {
            cluster.nodes[node].key.storage = cluster.new_storage_id();
            cluster.start(node);
        }
        cluster
    }

    fn new_storage_id(&mut self) -> StorageId {
        self.last_storage += 1;
        StorageId(self.last_storage)
    }

    pub fn founder_count(&self) -> usize {
        self.founders.len()
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].replica.is_some() {
            return;
        }
        if !self.nodes[node].durable {
            self.wipe_storage(node);
        }
        let seed = self.rng.random();
        let now = self.clock(node);
        let mut config = Config::new(self.nodes[node].key.clone(), self.founders.clone());
        config.durable = self.nodes[node].durable;
        config.chunk_bytes = 40;
        config.batch_bytes = 200;
        config.max_inflight = 4;
        (self.configure)(&mut config);
        let it = &mut self.nodes[node];
        it.start_count += 1;
        it.applied = it.disk.snapshot.as_ref().map(|s| decode(&s.data)).unwrap_or_default();
        it.replica = Some(Replica::new(config, it.disk.clone(), seed, now));
        let start = it.start_count;
        self.schedule(node, 0, Action::Tick { start });
    }

    fn wipe_storage(&mut self, node: usize) {
        self.nodes[node].disk = StoredState::default();
        if self.fault != Fault::KeptStorageId {
            self.nodes[node].key.storage = self.new_storage_id();
        }
    }

    /// Stops a node. Writes that storage has not synced are lost.
    pub fn crash(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        it.replica = None;
        it.is_leader = false;
        it.frozen = false;
        it.backlog.clear();
        it.unsynced.clear();
        it.full = false;
        if self.fault == Fault::LostVote {
            it.disk.hard.vote = None;
        }
        self.history.drop_reads(node);
    }

    /// Crashes a node and deletes its storage.
    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.wipe_storage(node);
    }

    /// Turns the disk of a stopped node into a new group.
    pub fn rebuild(&mut self, node: usize, formation: medlarlug_core::replication::FormationId) {
        let it = &mut self.nodes[node];
        let base = it.disk.snapshot.as_ref().map(|it| it.index).unwrap_or_default();
        let command = |it: &Entry| match &it.payload {
            Payload::Command(command) => Some((it.index, it.term, decode(command)[0])),
            Payload::Members(_) | Payload::Empty => None,
        };
        let held: Vec<_> = it.disk.entries.iter().filter_map(command).collect();
        self.history.rebuild(base, &held);
        let member = Member { key: it.key.clone(), role: MemberRole::Voter, durable: it.durable };
        it.disk = it.disk.clone().rebuild(member, formation, None).expect("a group to rebuild");
    }

    /// Lets the disk of a node refuse every write until [`Cluster::free_disk`].
    pub fn fill_disk(&mut self, node: usize) {
        self.nodes[node].full = true;
    }

    /// Gives the disk of a node room again; what was refused is written.
    pub fn free_disk(&mut self, node: usize) {
        self.nodes[node].full = false;
        let start = self.nodes[node].start_count;
        if let Some(sequence) = self.nodes[node].unsynced.last().map(|batch| batch.sequence) {
            self.schedule(node, 0, Action::Sync { sequence, start });
        }
    }

    /// Stops the event loop of a running node; messages are queued until [`Cluster::thaw`].
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = self.nodes[node].replica.is_some();
    }

    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for event in std::mem::take(&mut self.nodes[node].backlog) {
            self.handle(node, event);
        }
    }

    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.push((from, to));
    }

    pub fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.blocked_links.push((node, other));
            self.blocked_links.push((other, node));
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    fn clock(&self, node: usize) -> Time {
        Time::from_micros(
            self.now * self.nodes[node].clock_permille / 1_000 + node as u64 * 7_000_000,
        )
    }

    fn schedule(&mut self, node: usize, after: u64, action: Action) {
        let slot = match self.free_slots.pop() {
            Some(slot) => slot,
            None => {
                self.actions.push(None);
                self.actions.len() - 1
            }
        };
        self.actions[slot] = Some(action);
        self.order += 1;
        self.queue.push(Reverse(ScheduledAction {
            at: self.now + after,
            order: self.order,
            node,
            slot,
        }));
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time.as_micros() as u64;
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > end {
                break;
            }
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = due.at;
            let action = self.actions[due.slot].take();
            self.free_slots.push(due.slot);
            if let Some(action) = action {
                self.execute(due.node, action);
            }
        }
        self.now = end;
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Deliver { from, message, start } => {
                if start.is_none_or(|start| start == self.nodes[node].start_count) {
                    self.handle(node, Event::Message { from, message });
                }
            }
            Action::Sync { sequence, start } => {
                let it = &self.nodes[node];
                if start == it.start_count && it.replica.is_some() && !it.full {
                    self.sync(node, sequence);
                    self.handle(node, Event::Persisted { sequence });
                }
            }
            Action::Tick { start } => {
                if start == self.nodes[node].start_count && self.nodes[node].replica.is_some() {
                    self.schedule(node, TICK_MICROS, Action::Tick { start });
                    self.handle(node, Event::Tick);
                }
            }
        }
    }

    fn sync(&mut self, node: usize, sequence: u64) {
        let it = &mut self.nodes[node];
        let count = it.unsynced.partition_point(|batch| batch.sequence <= sequence);
        for batch in it.unsynced.drain(..count) {
            it.disk.write(batch);
        }
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let it = &mut self.nodes[node];
        if it.frozen {
            if event != Event::Tick {
                it.backlog.push(event);
            }
            return;
        }
        let Some(replica) = &mut it.replica else {
            return;
        };
        let mut out = Vec::new();
        replica.handle(now, event, &mut out);
        for effect in out {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(node, &to, message),
            Effect::Persist(batch) => self.persist(node, batch),
            Effect::Apply { index, term, command } => {
                let value = decode(&command)[0];
                self.nodes[node].applied.push(value);
                let applied = &self.nodes[node].applied;
                self.history.apply(node, (index, term, value), applied);
            }
            Effect::InstallSnapshot { index, data } => {
                self.nodes[node].applied = decode(&data);
                self.history.install(index, &self.nodes[node].applied);
            }
            Effect::Committed { ticket, .. } => self.history.acknowledge(ticket),
            Effect::Rejected { ticket, reason } => self.history.reject(ticket, reason.is_final()),
            Effect::ReadReady { ticket, .. } => {
                self.history.answer_read(ticket, &self.nodes[node].applied);
            }
            Effect::RoleChanged { role, term } => {
                self.nodes[node].is_leader = role == Role::Leader;
                if role == Role::Leader {
                    let key = self.nodes[node].key.clone();
                    self.history.record_leader(term, key);
                }
            }
        }
    }

    fn persist(&mut self, node: usize, batch: Persist) {
        let sequence = batch.sequence;
        let start = self.nodes[node].start_count;
        self.nodes[node].unsynced.push(batch);
        if self.nodes[node].full {
            return;
        }
        let (min, max) = self.network.sync_micros;
        let delay = self.rng.random_range(min..max);
        if self.fault == Fault::EarlySync {
            self.handle(node, Event::Persisted { sequence });
            let unsynced = Action::Sync { sequence, start };
            return self.schedule(node, 3_000_000, unsynced);
        }
        self.schedule(node, delay, Action::Sync { sequence, start });
    }

    fn send(&mut self, node: usize, to: &InstanceId, message: Message) {
        let Some(receiver) = self.nodes.iter().position(|other| other.id == *to) else {
            return;
        };
        if self.blocked_links.contains(&(node, receiver)) || self.rng.random_bool(self.network.drop)
        {
            return;
        }
        let from = self.nodes[node].id.clone();
        let copies = if self.rng.random_bool(self.network.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let (min, max) = self.network.delay_micros;
            let delay = self.rng.random_range(min..max);
            let action =
                Action::Deliver { from: from.clone(), message: message.clone(), start: None };
            self.schedule(receiver, delay, action);
        }
    }

    pub fn propose(&mut self, node: usize) -> u64 {
        if self.nodes[node].replica.is_none() {
            return 0;
        }
        let value = self.history.begin_write(node);
        self.handle(
            node,
            Event::Propose { ticket: value, command: value.to_le_bytes().to_vec().into() },
        );
        value
    }

    pub fn read(&mut self, node: usize) {
        if self.nodes[node].replica.is_none() {
            return;
        }
        let ticket = self.history.begin_read(node);
        if self.fault == Fault::LocalRead {
            if self.nodes[node].is_leader && !self.nodes[node].frozen {
                self.history.answer_read(ticket, &self.nodes[node].applied);
            }
            return;
        }
        self.handle(node, Event::Read { ticket });
    }

    pub fn change(&mut self, node: usize, change: Change) {
        let ticket = self.history.begin_change();
        self.handle(node, Event::ChangeMembership { ticket, change });
    }

    pub fn compact(&mut self, node: usize) {
        let Some(replica) = &self.nodes[node].replica else {
            return;
        };
        let index = replica.applied();
        let snapshot = encode(&self.nodes[node].applied);
        self.handle(node, Event::Compact { index, snapshot: snapshot.into() });
    }

    /// Node that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |node: &usize| self.nodes[*node].replica.as_ref().map(Replica::term);
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_leader).max_by_key(term)
    }

    pub fn term(&self, node: usize) -> Term {
        self.nodes[node].replica.as_ref().map(Replica::term).unwrap_or_default()
    }

    pub fn membership(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].replica.as_ref()?.membership()
    }

    pub fn committed(&self, node: usize) -> LogIndex {
        self.nodes[node].replica.as_ref().map(Replica::committed).unwrap_or_default()
    }

    /// Whether there is a leader, and every founder is running and a voter with its present storage.
    pub fn is_recovered(&self) -> bool {
        let Some(members) = self.leader().and_then(|leader| self.membership(leader)) else {
            return false;
        };
        let is_in = |node: &Node| node.replica.is_some() && members.is_voter(&node.key);
        self.nodes[..self.founders.len()].iter().all(is_in)
    }

    /// Ends all faults and runs until the group has recovered or `seconds` have passed. Returns whether
    /// it has recovered.
    pub fn recover(&mut self, seconds: u64) -> bool {
        self.heal();
        self.network = RELIABLE;
        for node in 0..self.nodes.len() {
            self.thaw(node);
            self.start(node);
        }
        for _ in 0..seconds * 4 {
            self.run(Duration::from_millis(250));
            if self.is_recovered() {
                return true;
            }
        }
        false
    }
}

pub fn encode(values: &[u64]) -> Vec<u8> {
    values.iter().flat_map(|value| value.to_le_bytes()).collect()
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    let value = |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().expect("eight bytes"));
    bytes.chunks(8).map(value).collect()
}
