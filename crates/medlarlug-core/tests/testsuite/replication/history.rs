//! The record of a run and its checks. The naive single copy is `copy`: one list of values.

use medlarlug_core::{
    ids::{LogIndex, Term},
    replication::MemberKey,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Open,
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Debug)]
struct Read {
    ticket: u64,
    node: usize,
    /// Values that were acknowledged before the read began.
    acknowledged: usize,
    /// Longest list that a read had returned before.
    seen: usize,
}

#[derive(Debug, Default)]
pub struct History {
    pub failures: Vec<String>,
    pub reads_done: usize,
    /// The naive single copy: each committed value with its log position.
    copy: Vec<(LogIndex, Term, u64)>,
    leaders: Vec<(Term, MemberKey)>,
    writes: Vec<(u64, usize, Outcome)>,
    acknowledged: Vec<u64>,
    reads: Vec<Read>,
    longest_read: usize,
    next: u64,
}

impl History {
    fn fail(&mut self, failure: String) {
        self.failures.push(failure);
    }

    fn ticket(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn begin_write(&mut self, node: usize) -> u64 {
        let value = self.ticket();
        self.writes.push((value, node, Outcome::Open));
        value
    }

    pub fn begin_read(&mut self, node: usize) -> u64 {
        let ticket = self.ticket();
        let acknowledged = self.acknowledged.len();
        self.reads.push(Read { ticket, node, acknowledged, seen: self.longest_read });
        ticket
    }

    pub fn begin_change(&mut self) -> u64 {
        self.ticket()
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

    pub fn forget_node(&mut self, node: usize) {
        self.reads.retain(|read| read.node != node);
    }

    pub fn lead(&mut self, term: Term, key: MemberKey) {
        let other = self.leaders.iter().find(|(own, leader)| *own == term && *leader != key);
        if let Some((_, other)) = other.cloned() {
            self.fail(format!("two leaders in term {term}: {other} and {key}"));
        }
        self.leaders.push((term, key));
    }

    pub fn apply(&mut self, node: usize, entry: (LogIndex, Term, u64), applied: &[u64]) {
        let at = applied.len() - 1;
        match self.copy.get(at).copied() {
            Some(known) if known != entry => {
                self.fail(format!("node {node} applied {entry:?}, committed was {known:?}"));
            }
            Some(_) => {}
            None if at == self.copy.len() => self.copy.push(entry),
            None => self.fail(format!("node {node} left a gap before {entry:?}")),
        }
        let is_prefix = self.copy.iter().zip(applied).all(|(known, value)| known.2 == *value);
        if !is_prefix {
            self.fail(format!("node {node} applied another prefix"));
        }
    }

    pub fn install(&mut self, index: LogIndex, applied: &[u64]) {
        let covered = self.copy.iter().filter(|(at, _, _)| *at <= index);
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
        let earlier = &self.acknowledged[..read.acknowledged];
        if let Some(lost) = earlier.iter().find(|value| !applied.contains(value)).copied() {
            self.fail(format!("a read at node {} misses the acknowledged {lost}", read.node));
        }
        if applied.len() < read.seen {
            self.fail(format!("a read at node {} went back", read.node));
        }
        self.longest_read = self.longest_read.max(applied.len());
    }

    /// The group goes on from a survivor with a snapshot up to `base` and the entries `held`: what
    /// it lacks is lost, acknowledged or not.
    pub fn rebuild(&mut self, base: LogIndex, held: &[(LogIndex, Term, u64)]) {
        let is_kept = |it: &(LogIndex, Term, u64)| it.0 <= base || held.contains(it);
        let kept = self.copy.iter().take_while(|it| is_kept(it)).count();
        self.copy.truncate(kept);
        let copy = &self.copy;
        let is_lost = |value: &u64| !copy.iter().any(|it| it.2 == *value);
        for write in self.writes.iter_mut().filter(|it| is_lost(&it.0)) {
            write.2 = Outcome::Unknown;
        }
        self.acknowledged.retain(|it| !is_lost(it));
        self.reads.clear();
        // Terms count within a formation; replicas drop the messages of another one.
        self.leaders.clear();
        self.longest_read = self.longest_read.min(kept);
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Compares the final state of a replica with the single copy and the answers given.
    pub fn check_final(&mut self, applied: &[u64]) {
        for (value, _, outcome) in self.writes.clone() {
            let count = applied.iter().filter(|own| **own == value).count();
            let is_right = match outcome {
                Outcome::Acknowledged => count == 1,
                Outcome::Refused => count == 0,
                Outcome::Open | Outcome::Unknown => count <= 1,
            };
            if !is_right {
                self.fail(format!("value {value}, {outcome:?}, is there {count} times"));
            }
        }
        if !self.copy.iter().map(|(_, _, value)| value).eq(applied) {
            self.fail("the final state differs from the single copy".to_owned());
        }
    }
}
