//! What ran: how often each key, and with which answer.

use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

/// The runs of one upstream, kept across its crashes; sorted by key.
#[derive(Debug, Default, Serialize)]
pub struct Ledger {
    /// Runs of all keys.
    pub total: u64,
    /// Runs of each key.
    pub runs: Vec<Run>,
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
        let index = match self.find(key) {
            Ok(found) => found,
            Err(place) => {
                self.runs.insert(place, Run { key: key.into(), count: 0, answer: None });
                place
            }
        };
        self.runs[index].count += 1;
        self.runs[index].count
    }

    /// Notes the answer of the last run of `key`.
    pub fn end(&mut self, key: &str, answer: Value) {
        if let Ok(found) = self.find(key) {
            self.runs[found].answer = Some(answer);
        }
    }

    /// The runs of `key`.
    pub fn get(&self, key: &str) -> Option<&Run> {
        self.find(key).ok().map(|found| &self.runs[found])
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.runs.binary_search_by(|it| it.key.as_str().cmp(key))
    }
}
