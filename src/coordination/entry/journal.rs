//! The records of requests at the instance that took them in.
//!
//! Records are sent in batches to the home group of the instance's region: once when the request
//! was taken in and once when it ended, or only once when it ended before its batch was sent. A
//! crash of the instance loses what was not sent yet, at most one batch interval; a request whose
//! end was lost is then told as [`Outcome::NotRecorded`].

use std::{collections::VecDeque, time::Duration};

use medlarlug_core::{
    ids::{Incarnation, InstanceId, RegionId, RequestId, TeamId},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
    time::Time,
};
use smol_str::SmolStr;

/// Ended records that are kept for look-ups.
const RECENT_RECORDS: usize = 10_000;

/// Records that wait to be sent at most; the oldest are dropped and counted beyond it.
const WAITING_RECORDS: usize = 50_000;

/// Waiting records among which the open state of an ended one is looked for.
const SEARCHED_RECORDS: usize = 1_024;

/// Counter: records that were dropped because no keeper took them.
pub const DROPPED_RECORDS: &str = "medlarlug_records_dropped_total";

struct Open {
    sequence: u64,
    received: Time,
    record: RequestRecord,
}

/// Records of the requests of one instance.
pub struct Journal {
    region: RegionId,
    instance: InstanceId,
    incarnation: Incarnation,
    last: u64,
    open: Vec<Open>,
    recent: VecDeque<RequestRecord>,
    waiting: VecDeque<RequestRecord>,
}

impl Journal {
    /// A journal without a record.
    pub fn new(region: RegionId, instance: InstanceId, incarnation: Incarnation) -> Journal {
        Journal {
            region,
            instance,
            incarnation,
            last: 0,
            open: Vec::new(),
            recent: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Opens the record of a request that was taken in, and numbers it.
    pub fn begin(&mut self, now: Time, team: TeamId, target: ItemKey) -> RequestId {
        self.last += 1;
        let id = RequestId {
            region: self.region.clone(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.last,
        };
        let stage = Stage::Received { instance: self.instance.clone() };
        let timeline = vec![TimelineEntry { after: Default::default(), stage }];
        let record = RequestRecord { id: id.clone(), team, target, outcome: None, timeline };
        self.enqueue(record.clone());
        self.open.push(Open { sequence: self.last, received: now, record });
        id
    }

    /// Adds a stage to an open record; does nothing for a request of another instance.
    pub fn step(&mut self, now: Time, id: &RequestId, stage: Stage) {
        if let Some(found) = self.place(id) {
            let open = &mut self.open[found];
            open.record.timeline.push(TimelineEntry { after: now - open.received, stage });
        }
    }

    /// Time since an open request was received; `None` for a request of another instance.
    pub fn elapsed(&self, now: Time, id: &RequestId) -> Option<Duration> {
        self.place(id).map(|found| now - self.open[found].received)
    }

    /// Closes a record; a second end of the same request is ignored.
    pub fn end(&mut self, now: Time, id: &RequestId, outcome: Outcome, reason: &str) {
        self.step(now, id, Stage::Ended { outcome, reason: SmolStr::new(reason) });
        let Some(found) = self.place(id) else { return };
        let mut record = self.open.remove(found).record;
        record.outcome = Some(outcome);
        self.enqueue_ended(record.clone());
        if self.recent.len() == RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }

    fn place(&self, id: &RequestId) -> Option<usize> {
        let found = self.open.binary_search_by_key(&id.sequence, |it| it.sequence).ok()?;
        (self.open[found].record.id == *id).then_some(found)
    }

    /// The record of a request, if it is open or ended not long ago.
    pub fn find(&self, id: &RequestId) -> Option<&RequestRecord> {
        let mut records = self.open.iter().map(|it| &it.record).chain(&self.recent);
        records.find(|it| it.id == *id)
    }

    /// Takes the oldest waiting records out, `most` of them at most.
    pub fn take_batch(&mut self, most: usize) -> Vec<RequestRecord> {
        let count = most.min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }

    /// Puts a batch back that no keeper took.
    pub fn put_back(&mut self, batch: Vec<RequestRecord>) {
        for record in batch.into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.trim();
    }

    /// Queues an ended record, in the place of its open state if that still waits.
    fn enqueue_ended(&mut self, record: RequestRecord) {
        let latest = self.waiting.iter_mut().rev().take(SEARCHED_RECORDS);
        match latest.into_iter().find(|it| it.id == record.id) {
            Some(open) => *open = record,
            None => self.enqueue(record),
        }
    }

    fn enqueue(&mut self, record: RequestRecord) {
        self.waiting.push_back(record);
        self.trim();
    }

    fn trim(&mut self) {
        while self.waiting.len() > WAITING_RECORDS {
            self.waiting.pop_front();
            metrics::counter!(DROPPED_RECORDS).increment(1);
        }
    }
}
