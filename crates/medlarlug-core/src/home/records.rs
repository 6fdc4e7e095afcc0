//! Records of requests, kept in a ring.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    home::command::RecordLookup,
    ids::{Incarnation, InstanceId, RequestId},
    record::{Outcome, RequestRecord},
};

/// Records that a home group keeps; the oldest one makes room.
pub const MAX_RECORDS: usize = 65_536;

/// Records of one incarnation, sorted by sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Journal {
    instance: InstanceId,
    incarnation: Incarnation,
    is_lost: bool,
    dropped: u64,
    records: VecDeque<RequestRecord>,
}

/// Records of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Records {
    journals: Vec<Journal>,
    order: VecDeque<RequestId>,
}

impl Records {
    /// Stores `records`; a record without an end does not replace one that has an end.
    pub(crate) fn store(&mut self, records: Vec<RequestRecord>) {
        for record in records {
            self.store_one(record);
        }
        while self.order.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    /// What is known of the request `id`.
    pub(crate) fn look_up(&self, id: &RequestId) -> RecordLookup {
        let Ok(found) = self.find(&id.instance, id.incarnation) else {
            return RecordLookup::Expired;
        };
        let journal = &self.journals[found];
        match journal.records.binary_search_by_key(&id.sequence, |it| it.id.sequence) {
            Ok(place) => RecordLookup::Found(journal.records[place].clone()),
            Err(_) if journal.is_lost || id.sequence <= journal.dropped => RecordLookup::Expired,
            Err(_) => RecordLookup::Pending,
        }
    }

    /// Notes that `instance` runs under `incarnation`: earlier ones are lost.
    pub(crate) fn start(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let place = self.journal(instance, incarnation);
        let earlier = self.journals[..place].iter_mut().rev();
        for journal in earlier.take_while(|it| it.instance == *instance) {
            journal.close();
        }
        self.journals.retain(|it| !it.is_lost || !it.records.is_empty());
    }

    /// Notes that an incarnation seems to be lost.
    pub(crate) fn lose(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let place = self.journal(instance, incarnation);
        self.journals[place].close();
        self.journals.retain(|it| !it.is_lost || !it.records.is_empty());
    }

    fn find(&self, instance: &InstanceId, incarnation: Incarnation) -> Result<usize, usize> {
        let key = (instance, incarnation);
        self.journals.binary_search_by(|it| (&it.instance, it.incarnation).cmp(&key))
    }

    fn journal(&mut self, instance: &InstanceId, incarnation: Incarnation) -> usize {
        match self.find(instance, incarnation) {
            Ok(found) => found,
            Err(place) => {
                let next = self.journals.get(place);
                let journal = Journal {
                    instance: instance.clone(),
                    incarnation,
                    is_lost: next.is_some_and(|it| it.instance == *instance),
                    dropped: 0,
                    records: VecDeque::new(),
                };
                self.journals.insert(place, journal);
                place
            }
        }
    }

    fn store_one(&mut self, mut record: RequestRecord) {
        let place = self.journal(&record.id.instance, record.id.incarnation);
        let journal = &mut self.journals[place];
        if journal.is_lost && record.outcome.is_none() {
            record.outcome = Some(Outcome::NotRecorded);
        }
        match journal.records.binary_search_by_key(&record.id.sequence, |it| it.id.sequence) {
            Ok(found) => {
                let stored = &mut journal.records[found];
                if is_newer(&record, stored) {
                    *stored = record;
                }
            }
            Err(place) => {
                self.order.push_back(record.id.clone());
                journal.records.insert(place, record);
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
        if let Ok(place) = journal.records.binary_search_by_key(&id.sequence, |it| it.id.sequence) {
            journal.records.remove(place);
            journal.dropped = journal.dropped.max(id.sequence);
        }
        if journal.is_lost && journal.records.is_empty() {
            self.journals.remove(found);
        }
    }
}

impl Journal {
    fn close(&mut self) {
        self.is_lost = true;
        for record in self.records.iter_mut().filter(|it| it.outcome.is_none()) {
            record.outcome = Some(Outcome::NotRecorded);
        }
    }
}

fn is_newer(record: &RequestRecord, stored: &RequestRecord) -> bool {
    match (record.outcome, stored.outcome) {
        (_, None) => true,
        (None | Some(Outcome::NotRecorded), Some(_)) => false,
        (Some(_), Some(Outcome::NotRecorded)) => true,
        // An outcome that was unknown may be settled later.
        (Some(_), Some(Outcome::Unknown)) => true,
        (Some(_), Some(_)) => false,
    }
}
