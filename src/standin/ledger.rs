//! Records how often each key ran and with which answer.
//!
//! Keys arrive in random order and are never removed, so that an insertion into a sorted vector would
//! move megabytes; a tree does not.

use std::collections::{BTreeMap, btree_map::Entry};

use serde::{Serialize, Serializer};
use serde_json::Value;
use smol_str::SmolStr;

/// The runs of one upstream, sorted by key; crashes of the upstream don't clear them.
#[derive(Debug, Default, Serialize)]
pub struct Ledger {
    /// Number of runs of all keys.
    pub total: u64,
    #[serde(serialize_with = "list")]
    runs: BTreeMap<SmolStr, Run>,
}

/// Serializes the runs as a list, sorted by key.
fn list<S: Serializer>(runs: &BTreeMap<SmolStr, Run>, target: S) -> Result<S::Ok, S::Error> {
    target.collect_seq(runs.values())
}

/// The runs of one key: the idempotency key of a call, else its request id.
#[derive(Debug, Serialize)]
pub struct Run {
    /// Idempotency key of the calls, or the request id if they have none.
    pub key: SmolStr,
    /// Number of runs.
    pub count: u64,
    /// The answer of the last completed run.
    pub answer: Option<Value>,
}

impl Ledger {
    /// Records the start of a run of `key` and returns the number of its runs, including this one.
    ///
    /// ```
    /// use medlarlug::standin::ledger::Ledger;
    ///
    /// let mut ledger = Ledger::default();
    /// assert_eq!(ledger.begin("key-1"), 1);
    /// assert_eq!(ledger.begin("key-1"), 2);
    /// ```
    pub fn begin(&mut self, key: &str) -> u64 {
        self.total += 1;
        let run = match self.runs.entry(key.into()) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(Run { key: key.into(), count: 0, answer: None }),
        };
        run.count += 1;
        run.count
    }

    /// Records the answer of the last run of `key`.
    pub fn end(&mut self, key: &str, answer: Value) {
        if let Some(run) = self.runs.get_mut(key) {
            run.answer = Some(answer);
        }
    }

    /// The runs of `key`; `None` if it never ran.
    pub fn get(&self, key: &str) -> Option<&Run> {
        self.runs.get(key)
    }
}
