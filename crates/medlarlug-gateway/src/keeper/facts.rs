//! Stores facts about contents that crash upstreams on the disk of a keeper.
//!
//! Stored are the crashes that involve a content with more than one crash, because these keep the
//! content from running. A clearance removes its content. All facts are rewritten when they have
//! changed: that is one write for a crash that involves a quarantined content or one that was
//! suspected before, and none for other crashes. Crashes are passed to the writer before they are
//! sent on, but nothing waits for the sync: that would delay the other instances in keeping the
//! content from their upstreams, while a loss of power within these milliseconds costs one more
//! crash. Clearances are numerous after a crash, and are written with the next round of updates.
//!
//! While the keeper is down, ages advance by the wall clock. A clock that was set back makes facts
//! younger, which keeps contents from running for longer and is thus safe.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarlug::state::{GroupName, Journal};
use medlarlug_core::{
    ids::{LogIndex, Term},
    replication::{Entry, Payload, Persist},
    suspects::Fact,
};
use serde::{Deserialize, Serialize};

/// Name of the group in the journal that holds the facts; a new format gets a new name.
const JOURNAL_NAME: &str = "crashing-contents";
/// Index of the single journal entry that holds all facts.
const ENTRY_INDEX: LogIndex = LogIndex(1);
/// Maximum number of stored contents; those of the oldest crashes are dropped first. At 19 bytes
/// each, a write takes 40 KB.
const MAX_STORED_CONTENTS: usize = 2_048;

/// The stored format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredFacts {
    /// When the facts were written, in Unix milliseconds.
    written_ms: u64,
    facts: Vec<Fact>,
}

/// The facts that were last passed to the writer.
#[derive(Debug, Default)]
pub(super) struct FactStore {
    sequence: u64,
    /// The facts without their ages.
    facts: Vec<Fact>,
}

pub(super) fn name() -> GroupName {
    let Ok(name) = JOURNAL_NAME.parse();
    name
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the facts in the journal, with their ages advanced to now.
pub(super) fn restore(journal: &Journal) -> Vec<Fact> {
    let restored = journal.group(&name());
    let Some(Payload::Command(bytes)) = restored.entries.last().map(|it| &it.payload) else {
        return Vec::new();
    };
    match postcard::from_bytes::<StoredFacts>(bytes) {
        Ok(stored) => {
            let down = Duration::from_millis(unix_ms().saturating_sub(stored.written_ms));
            let down_s = down.as_secs();
            tracing::info!(
                facts = stored.facts.len(),
                down_s,
                "facts about contents that crash upstreams restored"
            );
            stored.facts.iter().map(|fact| fact.aged_by(down)).collect()
        }
        Err(error) => {
            tracing::error!(%error, "stored facts about contents that crash upstreams can't be read; other keepers have to send them");
            Vec::new()
        }
    }
}

impl FactStore {
    /// Returns the batch to write if `facts` differ from those written last.
    pub(super) fn batch(&mut self, mut facts: Vec<Fact>) -> Option<Persist> {
        drop_oldest(&mut facts);
        let without_ages: Vec<Fact> = facts.iter().map(Fact::without_age).collect();
        if without_ages == self.facts {
            return None;
        }
        let bytes = match postcard::to_stdvec(&StoredFacts { written_ms: unix_ms(), facts }) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "failed to encode contents that crash upstreams");
                return None;
            }
        };
        self.facts = without_ages;
        self.sequence += 1;
        let entry =
            Entry { index: ENTRY_INDEX, term: Term(0), payload: Payload::Command(bytes.into()) };
        Some(Persist {
            sequence: self.sequence,
            cut: Some(ENTRY_INDEX),
            entries: vec![entry],
            ..Persist::default()
        })
    }
}

/// Drops the oldest crashes beyond [`MAX_STORED_CONTENTS`].
fn drop_oldest(facts: &mut Vec<Fact>) {
    facts.sort_by_key(Fact::age);
    let mut contents = 0;
    facts.retain(|fact| {
        contents += fact.content_count();
        contents <= MAX_STORED_CONTENTS
    });
}
