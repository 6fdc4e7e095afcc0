//! What ran: how often each key, and with which answer.
//!
//! Keys come in an order that is not their own, and all are kept, so that a sorted vector would
//! move megabytes for one insertion; a tree does not.

use std::collections::{BTreeMap, btree_map::Entry};

use serde::{Serialize, Serializer};
use serde_json::Value;
use smol_str::SmolStr;

/// The runs of one upstream, kept across its crashes; sorted by key.
#[derive(Debug, Default, Serialize)]
pub struct Ledger {
    /// Runs of all keys.
    pub total: u64,
    #[serde(serialize_with = "list")]
    runs: BTreeMap<SmolStr, Run>,
}

/// Writes the runs of each key as a list, sorted by key.
fn list<S: Serializer>(runs: &BTreeMap<SmolStr, Run>, target: S) -> Result<S::Ok, S::Error> {
    target.collect_seq(runs.values())
}

/// The runs of one key: the idempotency key of a call, else its request id.
#[derive(Debug, Serialize)]
pub struct Run {
    /// The key.
    pub key: SmolStr,
    /// How often it ran.
    pub count: u64,
    /// The answer of the last run, once it ended.
    pub answer: Option<Value>,
}

impl Ledger {
    /// Notes that `key` begins to run and returns how often it has run, this time included.
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
            Entry::Occupied(found) => found.into_mut(),
            Entry::Vacant(place) => place.insert(Run { key: key.into(), count: 0, answer: None }),
        };
        run.count += 1;
        run.count
    }

    /// Notes the answer of the last run of `key`.
    pub fn end(&mut self, key: &str, answer: Value) {
        if let Some(run) = self.runs.get_mut(key) {
            run.answer = Some(answer);
        }
    }

    /// The runs of `key`.
    pub fn get(&self, key: &str) -> Option<&Run> {
        self.runs.get(key)
    }
}
