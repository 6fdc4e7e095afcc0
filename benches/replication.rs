//! Measures throughput, latency, recovery time and journal size of a replication group.
//!
//! `cargo bench --bench replication` prints one table; `-- storage`, `commits`, `recovery` and `size`
//! select parts of it. Writes are synced to data folders below the target folder. The three replicas
//! of a group share one thread, and messages between them take no time.

use std::{
    collections::VecDeque,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use medlarlug::state::{DataFolder, GroupName, Journal, SyncResult, Writer};
use medlarlug_core::{
    ids::{InstanceId, LogIndex, Term},
    replication::{
        Config, Effect, Entry, Event, MemberKey, Message, Payload, Persist, Replica, Role,
    },
    time::Time,
};
use redb::{Database, TableDefinition};
use tempfile::TempDir;
use tokio::sync::mpsc::UnboundedReceiver;

const COMMAND_BYTES: usize = 200;
const RUN_TIME: Duration = Duration::from_secs(5);
const TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

fn folder() -> TempDir {
    TempDir::new_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder for the bench")
}

fn group() -> GroupName {
    "bench".parse().expect("a group")
}

fn instance(number: usize) -> InstanceId {
    format!("keeper-{number}").parse().expect("an instance")
}

fn journal(path: &Path, number: usize) -> (DataFolder, Journal) {
    let folder = DataFolder::open(path, &instance(number)).expect("a data folder");
    let journal = Journal::open(&folder).expect("a journal");
    (folder, journal)
}

fn batch(sequence: u64, count: u64) -> Persist {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![1; COMMAND_BYTES].into()),
    };
    let first = (sequence - 1) * count + 1;
    Persist { sequence, entries: (first..first + count).map(entry).collect(), ..Persist::default() }
}

fn print_row(name: &str, count: usize, time: Duration, latency: &Histogram<u64>) {
    let rate = count as f64 / time.as_secs_f64();
    let at = |q| latency.value_at_quantile(q) as f64 / 1_000.0;
    println!("{name:<34} {rate:>9.0} /s   p50 {:>7.2} ms   p99 {:>7.2} ms", at(0.5), at(0.99));
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

/// Measures consecutive synced writes of `count` records each.
fn measure_writes(name: &str, count: u64, mut write: impl FnMut(u64)) {
    let mut latency = histogram();
    let start = Instant::now();
    let mut sequence = 0;
    while start.elapsed() < RUN_TIME {
        sequence += 1;
        let before = Instant::now();
        write(sequence);
        latency.record(before.elapsed().as_micros() as u64).expect("a latency");
    }
    print_row(name, (sequence * count) as usize, start.elapsed(), &latency);
}

fn compare_storage(count: u64) {
    let path = folder();
    let (_folder, mut journal) = journal(path.path(), 1);
    measure_writes(&format!("journal, {count} a sync"), count, |sequence| {
        journal.write(vec![(group(), batch(sequence, count))]).expect("a write");
    });
    let path = folder();
    let database = Database::create(path.path().join("redb")).expect("a database");
    measure_writes(&format!("redb, {count} a sync"), count, |sequence| {
        let transaction = database.begin_write().expect("a transaction");
        {
            let mut table = transaction.open_table(TABLE).expect("a table");
            for entry in batch(sequence, count).entries {
                let Payload::Command(command) = &entry.payload else { continue };
                table.insert(entry.index.0, command.as_ref()).expect("an insert");
            }
        }
        transaction.commit().expect("a commit");
    });
}

/// Measures an unreplicated log, which is the journal's writer alone, with the same load.
fn measure_unreplicated(clients: usize) {
    let path = folder();
    let (_folder, journal) = journal(path.path(), 1);
    let (writer, mut reports) = Writer::start(journal).expect("a writer");
    let mut latency = histogram();
    let mut in_flight = VecDeque::new();
    let (mut sequence, mut done) = (0, 0);
    let start = Instant::now();
    while start.elapsed() < RUN_TIME {
        while in_flight.len() < clients {
            sequence += 1;
            writer.persist(group(), batch(sequence, 1));
            in_flight.push_back((sequence, Instant::now()));
        }
        let synced = reports.blocking_recv().expect("a report").expect("a sync");
        while in_flight.front().is_some_and(|(own, _)| *own <= synced.sequence) {
            let Some((_, begun)) = in_flight.pop_front() else { break };
            latency.record(begun.elapsed().as_micros() as u64).expect("a latency");
            done += 1;
        }
    }
    print_row(&format!("unreplicated, {clients} clients"), done, start.elapsed(), &latency);
}

struct Host {
    replica: Replica,
    writer: Writer,
    reports: UnboundedReceiver<SyncResult>,
    _path: TempDir,
    _folder: DataFolder,
}

fn host(number: usize) -> Host {
    let path = folder();
    let (folder, journal) = journal(path.path(), number);
    let restored = journal.group(&group());
    let key = MemberKey { id: instance(number), storage: folder.storage() };
    let config = Config::new(key, (0..3).map(instance).collect());
    let replica = Replica::new(config, restored, number as u64, Time::ZERO);
    let (writer, reports) = Writer::start(journal).expect("a writer");
    Host { replica, writer, reports, _path: path, _folder: folder }
}

struct Bench {
    hosts: Vec<Host>,
    start: Instant,
    messages: VecDeque<(usize, InstanceId, Message)>,
    /// Ticket and start of each command in flight.
    in_flight: Vec<(u64, Instant)>,
    latency: Histogram<u64>,
    done: usize,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            hosts: (0..3).map(host).collect(),
            start: Instant::now(),
            messages: VecDeque::new(),
            in_flight: Vec::new(),
            latency: histogram(),
            done: 0,
        }
    }

    fn handle(&mut self, at: usize, event: Event) {
        let now = Time::from_micros(self.start.elapsed().as_micros() as u64);
        let mut out = Vec::new();
        self.hosts[at].replica.handle(now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, message } => {
                    let receiver = (0..3).find(|number| instance(*number) == to);
                    let receiver = receiver.expect("a receiver");
                    self.messages.push_back((receiver, instance(at), message));
                }
                Effect::Persist(batch) => self.hosts[at].writer.persist(group(), batch),
                Effect::Committed { ticket, .. } => self.record_commit(ticket),
                _ => {}
            }
        }
    }

    fn record_commit(&mut self, ticket: u64) {
        if let Some(index) = self.in_flight.iter().position(|(own, _)| *own == ticket) {
            let (_, begun) = self.in_flight.swap_remove(index);
            self.latency.record(begun.elapsed().as_micros() as u64).expect("a latency");
            self.done += 1;
        }
    }

    fn step(&mut self, next_tick: &mut Instant) {
        if Instant::now() >= *next_tick {
            *next_tick = Instant::now() + Duration::from_millis(20);
            (0..3).for_each(|at| self.handle(at, Event::Tick));
        }
        let mut is_idle = true;
        while let Some((to, from, message)) = self.messages.pop_front() {
            is_idle = false;
            self.handle(to, Event::Message { from, message });
        }
        for at in 0..3 {
            while let Ok(report) = self.hosts[at].reports.try_recv() {
                is_idle = false;
                let sequence = report.expect("a sync").sequence;
                self.handle(at, Event::Persisted { sequence });
            }
        }
        if is_idle {
            thread::sleep(Duration::from_micros(20));
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|at| self.hosts[*at].replica.role() == Role::Leader)
    }
}

fn measure_group(clients: usize) {
    let mut bench = Bench::new();
    let mut next_tick = Instant::now();
    while bench.leader().is_none() {
        bench.step(&mut next_tick);
    }
    let leader = bench.leader().expect("a leader");
    let start = Instant::now();
    let mut ticket = 0;
    while start.elapsed() < RUN_TIME {
        while bench.in_flight.len() < clients {
            ticket += 1;
            bench.in_flight.push((ticket, Instant::now()));
            bench.handle(leader, Event::Propose { ticket, command: vec![1; COMMAND_BYTES].into() });
        }
        bench.step(&mut next_tick);
    }
    let name = format!("three replicas, {clients} clients");
    print_row(&name, bench.done, start.elapsed(), &bench.latency);
}

fn measure_recovery(records: u64) {
    const BATCH: u64 = 100;
    let path = folder();
    let (folder, mut journal) = journal(path.path(), 1);
    for sequence in 1..=records / BATCH {
        journal.write(vec![(group(), batch(sequence, BATCH))]).expect("a write");
    }
    let bytes = journal.length();
    drop(journal);
    let start = Instant::now();
    let journal = Journal::open(&folder).expect("a journal");
    let restored = journal.group(&group());
    let time = start.elapsed().as_secs_f64() * 1_000.0;
    assert_eq!(restored.entries.len() as u64, records);
    println!("recovery of {records:>6} records {time:>20.2} ms   {bytes:>10} bytes");
}

fn measure_size(compacts: bool) {
    let path = folder();
    let (folder, journal) = journal(path.path(), 1);
    let key = MemberKey { id: instance(1), storage: folder.storage() };
    let config = Config::new(key, vec![instance(1)]);
    let mut replica = Replica::new(config, journal.group(&group()), 1, Time::ZERO);
    let mut journal = journal;
    let mut largest = 0;
    let mut events = VecDeque::from([Event::Tick]);
    for ticket in 1..=10_000 {
        events.push_back(Event::Propose { ticket, command: vec![1; COMMAND_BYTES].into() });
        if compacts && ticket % 1_000 == 0 {
            let index = replica.applied();
            events.push_back(Event::Compact { index, snapshot: vec![1; 50_000].into() });
        }
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            replica.handle(Time::ZERO, event, &mut out);
            for effect in out {
                let Effect::Persist(batch) = effect else { continue };
                let sequence = batch.sequence;
                journal.write(vec![(group(), batch)]).expect("a write");
                events.push_back(Event::Persisted { sequence });
            }
        }
        largest = largest.max(journal.length());
    }
    let name = if compacts { "snapshot each 1,000" } else { "no snapshot" };
    println!("10,000 changes, {name:<22} largest {largest} bytes, last {}", journal.length());
}

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let is_selected = |name: &str| names.is_empty() || names.iter().any(|own| own == name);
    if is_selected("storage") {
        [1, 64].into_iter().for_each(compare_storage);
    }
    if is_selected("commits") {
        for clients in [1, 64] {
            measure_unreplicated(clients);
            measure_group(clients);
        }
    }
    if is_selected("recovery") {
        [1_000, 10_000, 100_000].into_iter().for_each(measure_recovery);
    }
    if is_selected("size") {
        [true, false].into_iter().for_each(measure_size);
    }
}
