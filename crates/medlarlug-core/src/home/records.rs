//! Storage of request records, bounded by eviction of the oldest.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    home::command::RecordLookup,
    ids::{Incarnation, InstanceId, RequestId},
    record::{Outcome, RequestRecord},
};

/// Maximum number of records that a home group stores; beyond it, the oldest one is evicted.
pub const MAX_RECORDS: usize = 65_536;

/// Records of one incarnation, sorted by sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Journal {
    instance: InstanceId,
    incarnation: Incarnation,
    #[serde(rename = "is_lost")]
    is_dead: bool,
    #[serde(rename = "dropped")]
    highest_dropped: u64,
    records: VecDeque<RequestRecord>,
}

/// Request records of all incarnations, sorted by instance and incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Records {
    journals: Vec<Journal>,
    order: VecDeque<RequestId>,
}

impl Records {
    /// Stores `records`. A record without an outcome does not replace one that has an outcome.
    pub(crate) fn store(&mut self, records: Vec<RequestRecord>) {
        for record in records {
            self.store_one(record);
        }
        while self.order.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    pub(crate) fn look_up(&self, id: &RequestId) -> RecordLookup {
        let Ok(found) = self.find(&id.instance, id.incarnation) else {
            return RecordLookup::Expired;
        };
        let journal = &self.journals[found];
        match journal.records.binary_search_by_key(&id.sequence, |it| it.id.sequence) {
            Ok(index) => RecordLookup::Found(journal.records[index].clone()),
            Err(_) if journal.is_dead || id.sequence <= journal.highest_dropped => {
                RecordLookup::Expired
            }
            Err(_) => RecordLookup::Pending,
        }
    }

    /// Records that `instance` runs under `incarnation`, which implies that its earlier ones are dead.
    pub(crate) fn start_incarnation(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let index = self.find_or_insert(instance, incarnation);
        let earlier = self.journals[..index].iter_mut().rev();
        for journal in earlier.take_while(|it| it.instance == *instance) {
            journal.close();
        }
        self.journals.retain(|it| !it.is_dead || !it.records.is_empty());
    }

    /// Records that an incarnation is presumed dead.
    pub(crate) fn mark_dead(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let index = self.find_or_insert(instance, incarnation);
        self.journals[index].close();
        self.journals.retain(|it| !it.is_dead || !it.records.is_empty());
    }

    fn find(&self, instance: &InstanceId, incarnation: Incarnation) -> Result<usize, usize> {
        let key = (instance, incarnation);
        self.journals.binary_search_by(|it| (&it.instance, it.incarnation).cmp(&key))
    }

    fn find_or_insert(&mut self, instance: &InstanceId, incarnation: Incarnation) -> usize {
        match self.find(instance, incarnation) {
            Ok(found) => found,
            Err(index) => {
                let next = self.journals.get(index);
                let journal = Journal {
                    instance: instance.clone(),
                    incarnation,
                    is_dead: next.is_some_and(|it| it.instance == *instance),
                    highest_dropped: 0,
                    records: VecDeque::new(),
                };
                self.journals.insert(index, journal);
                index
            }
        }
    }

    fn store_one(&mut self, mut record: RequestRecord) {
        let index = self.find_or_insert(&record.id.instance, record.id.incarnation);
        let journal = &mut self.journals[index];
        if journal.is_dead && record.outcome.is_none() {
            record.outcome = Some(Outcome::NotRecorded);
        }
        match journal.records.binary_search_by_key(&record.id.sequence, |it| it.id.sequence) {
            Ok(found) => {
                let stored = &mut journal.records[found];
                if replaces(&record, stored) {
                    *stored = record;
                }
            }
            Err(index) => {
                self.order.push_back(record.id.clone());
                journal.records.insert(index, record);
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        let Ok(found) = self.find(&id.instance, id.incarnation) else {
            return;
        };
        let journal = &mut self.journals[found];
        if let Ok(index) = journal.records.binary_search_by_key(&id.sequence, |it| it.id.sequence) {
            journal.records.remove(index);
            journal.highest_dropped = journal.highest_dropped.max(id.sequence);
        }
        if journal.is_dead && journal.records.is_empty() {
            self.journals.remove(found);
        }
    }
}

impl Journal {
    fn close(&mut self) {
        self.is_dead = true;
        for record in self.records.iter_mut().filter(|it| it.outcome.is_none()) {
            record.outcome = Some(Outcome::NotRecorded);
        }
    }
}

fn replaces(record: &RequestRecord, stored: &RequestRecord) -> bool {
    match (record.outcome, stored.outcome) {
        (_, None) => true,
        (None | Some(Outcome::NotRecorded), Some(_)) => false,
        (Some(_), Some(Outcome::NotRecorded)) => true,
        // An unknown outcome may be resolved later.
        (Some(_), Some(Outcome::Unknown)) => true,
        (Some(_), Some(_)) => false,
    }
}
