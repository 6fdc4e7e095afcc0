//! What a keeper keeps on its disk of contents that crash upstreams.
//!
//! It keeps the losses of contents that more than one loss counts against, which is what keeps such
//! contents from running; a clearance takes its content out. The whole is written anew when it has changed:
//! one write for a crash under a quarantined or twice suspected content, and none for others. It goes to the
//! writer before it is told on, but nobody waits for the sync: other instances keep the content from their
//! upstreams sooner, and a loss of power within the milliseconds between costs one more crash.
//!
//! Ages count on by the time of day while the keeper is down. A clock that was set back makes facts younger,
//! which is the stricter case.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarlug::state::{GroupName, Journal};
use medlarlug_core::{
    ids::{LogIndex, Term},
    replication::{Entry, Payload, Persist},
    suspects::Fact,
};
use serde::{Deserialize, Serialize};

/// Name of the facts in the journal.
const JOURNAL_NAME: &str = "contents-that-crash";
/// The only entry that the journal keeps of them.
const ENTRY_INDEX: LogIndex = LogIndex(1);
/// Contents that are kept at most; those of the oldest losses go first. At 19 bytes each, a write takes 40 KB.
const MAX_STORED_CONTENTS: usize = 2_048;

/// What stands on the disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredFacts {
    /// When it was written, in Unix milliseconds.
    written_ms: u64,
    facts: Vec<Fact>,
}

/// What was written last.
#[derive(Debug, Default)]
pub(super) struct FactStore {
    sequence: u64,
    /// Facts without their ages.
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

/// The facts that the journal holds, as old as they are now.
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
                "contents that crash upstreams restored"
            );
            stored.facts.iter().map(|fact| fact.aged_by(down)).collect()
        }
        Err(error) => {
            tracing::error!(%error, "what was kept of contents that crash upstreams can't be read, other keepers have to tell it");
            Vec::new()
        }
    }
}

impl FactStore {
    /// The batch to write if `facts` differ from what was written last.
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
        let entry = Entry { index: ENTRY_INDEX, term: Term(0), payload: Payload::Command(bytes) };
        Some(Persist {
            sequence: self.sequence,
            cut: Some(ENTRY_INDEX),
            entries: vec![entry],
            ..Persist::default()
        })
    }
}

/// Drops the oldest losses beyond what is kept.
fn drop_oldest(facts: &mut Vec<Fact>) {
    facts.sort_by_key(Fact::age);
    let mut contents = 0;
    facts.retain(|fact| {
        contents += fact.content_count();
        contents <= MAX_STORED_CONTENTS
    });
}
