//! Record of a run and its checks against a naive model: `reference`, one list of committed values.

use medlarlug_core::{
    ids::{LogIndex, Term},
    replication::MemberKey,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Pending,
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Debug)]
struct Read {
    ticket: u64,
    node: usize,
    /// Number of values that were acknowledged before the read began.
    acknowledged: usize,
    /// Length of the longest list that a read had returned before.
    min_length: usize,
}

#[derive(Debug, Default)]
pub struct History {
    pub failures: Vec<String>,
    pub reads_done: usize,
    /// Each committed value with its log position, in log order.
    reference: Vec<(LogIndex, Term, u64)>,
    leaders: Vec<(Term, MemberKey)>,
    writes: Vec<(u64, usize, Outcome)>,
    acknowledged: Vec<u64>,
    reads: Vec<Read>,
    longest_read: usize,
    last_ticket: u64,
}

impl History {
    fn fail(&mut self, failure: String) {
        self.failures.push(failure);
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    pub fn begin_write(&mut self, node: usize) -> u64 {
        let value = self.next_ticket();
        self.writes.push((value, node, Outcome::Pending));
        value
    }

    pub fn begin_read(&mut self, node: usize) -> u64 {
        let ticket = self.next_ticket();
        let acknowledged = self.acknowledged.len();
        self.reads.push(Read { ticket, node, acknowledged, min_length: self.longest_read });
        ticket
    }

    pub fn begin_change(&mut self) -> u64 {
        self.next_ticket()
    }

    pub fn acknowledge(&mut self, ticket: u64) {
        if let Some(write) = self.writes.iter_mut().find(|write| write.0 == ticket) {
            write.2 = Outcome::Acknowledged;
            self.acknowledged.push(ticket);
        }
    }

    pub fn reject(&mut self, ticket: u64, is_final: bool) {
        if let Some(write) = self.writes.iter_mut().find(|write| write.0 == ticket) {
            write.2 = if is_final { Outcome::Refused } else { Outcome::Unknown };
        }
        self.reads.retain(|read| read.ticket != ticket);
    }

    pub fn drop_reads(&mut self, node: usize) {
        self.reads.retain(|read| read.node != node);
    }

    pub fn record_leader(&mut self, term: Term, key: MemberKey) {
        let other = self.leaders.iter().find(|(own, leader)| *own == term && *leader != key);
        if let Some((_, other)) = other.cloned() {
            self.fail(format!("two leaders in term {term}: {other} and {key}"));
        }
        self.leaders.push((term, key));
    }

    pub fn apply(&mut self, node: usize, entry: (LogIndex, Term, u64), applied: &[u64]) {
        let at = applied.len() - 1;
        match self.reference.get(at).copied() {
            Some(known) if known != entry => {
                self.fail(format!("node {node} applied {entry:?}, but {known:?} is committed"));
            }
            Some(_) => {}
            None if at == self.reference.len() => self.reference.push(entry),
            None => self.fail(format!("node {node} skipped an entry before {entry:?}")),
        }
        let is_prefix = self.reference.iter().zip(applied).all(|(known, value)| known.2 == *value);
        if !is_prefix {
            self.fail(format!("node {node} applied values that differ from the committed ones"));
        }
    }

    pub fn install(&mut self, index: LogIndex, applied: &[u64]) {
        let covered = self.reference.iter().filter(|(at, _, _)| *at <= index);
        let is_same = covered.map(|(_, _, value)| value).eq(applied);
        if !is_same {
            self.fail(format!("the snapshot at {index} differs from the committed entries"));
        }
    }

    pub fn answer_read(&mut self, ticket: u64, applied: &[u64]) {
        let Some(at) = self.reads.iter().position(|read| read.ticket == ticket) else {
            return;
        };
        let read = self.reads.swap_remove(at);
        self.reads_done += 1;
        let acknowledged_before = &self.acknowledged[..read.acknowledged];
        if let Some(lost) =
            acknowledged_before.iter().find(|value| !applied.contains(value)).copied()
        {
            self.fail(format!("a read at node {} lacks the acknowledged value {lost}", read.node));
        }
        if applied.len() < read.min_length {
            self.fail(format!(
                "a read at node {} returned fewer values than an earlier read",
                read.node
            ));
        }
        self.longest_read = self.longest_read.max(applied.len());
    }

    /// The group continues from a survivor with a snapshot up to `base` and the entries `held`. Other
    /// entries are lost, acknowledged or not.
    pub fn rebuild(&mut self, base: LogIndex, held: &[(LogIndex, Term, u64)]) {
        let is_kept = |it: &(LogIndex, Term, u64)| it.0 <= base || held.contains(it);
        let kept = self.reference.iter().take_while(|it| is_kept(it)).count();
        self.reference.truncate(kept);
        let reference = &self.reference;
        let is_lost = |value: &u64| !reference.iter().any(|it| it.2 == *value);
        for write in self.writes.iter_mut().filter(|it| is_lost(&it.0)) {
            write.2 = Outcome::Unknown;
        }
        self.acknowledged.retain(|it| !is_lost(it));
        self.reads.clear();
        // Terms are unique within a formation only; replicas drop messages of another formation.
        self.leaders.clear();
        self.longest_read = self.longest_read.min(kept);
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Compares the final state of a replica with the committed values and with the answers given.
    pub fn check_final(&mut self, applied: &[u64]) {
        for (value, _, outcome) in self.writes.clone() {
            let count = applied.iter().filter(|own| **own == value).count();
            let is_expected = match outcome {
                Outcome::Acknowledged => count == 1,
                Outcome::Refused => count == 0,
                Outcome::Pending | Outcome::Unknown => count <= 1,
            };
            if !is_expected {
                self.fail(format!("value {value} ({outcome:?}) is applied {count} times"));
            }
        }
        if !self.reference.iter().map(|(_, _, value)| value).eq(applied) {
            self.fail("the final state differs from the committed values".to_owned());
        }
    }
}
