//! The records of requests at the instance that received them.
//!
//! Records are sent in batches to the home group of the instance's region: once when the request
//! was received and once when it ended, or only once if it ended before its batch was sent. A crash
//! of the instance loses the records not sent yet, at most those of one batch interval; a request
//! whose end was lost is then reported as [`Outcome::NotRecorded`].

use std::{collections::VecDeque, time::Duration};

use medlarlug_core::{
    ids::{Incarnation, InstanceId, RegionId, RequestId, TeamId},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
    time::Time,
};
use smol_str::SmolStr;

/// Maximum number of ended records that are kept for look-ups.
const MAX_RECENT_RECORDS: usize = 10_000;

/// Maximum number of records waiting to be sent; beyond it the oldest are dropped and counted.
const MAX_WAITING_RECORDS: usize = 50_000;

/// Maximum number of waiting records, newest first, that are searched for the open state of a record
/// that has ended.
const MAX_SEARCHED_RECORDS: usize = 1_024;

/// Counter: records that were dropped because too many were waiting for a keeper to accept them.
pub const DROPPED_RECORDS: &str = "medlarlug_records_dropped_total";

struct OpenRecord {
    sequence: u64,
    received: Time,
    record: RequestRecord,
}

/// Records of the requests that one instance received, and the queue of those to be sent.
pub struct Journal {
    region: RegionId,
    instance: InstanceId,
    incarnation: Incarnation,
    last_sequence: u64,
    open: Vec<OpenRecord>,
    recent: VecDeque<RequestRecord>,
    waiting: VecDeque<RequestRecord>,
}

impl Journal {
    /// Creates an empty journal; the incarnation keeps request ids unique across restarts.
    pub fn new(region: RegionId, instance: InstanceId, incarnation: Incarnation) -> Journal {
        Journal {
            region,
            instance,
            incarnation,
            last_sequence: 0,
            open: Vec::new(),
            recent: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Opens the record of a received request, and assigns the request id.
    pub fn begin(&mut self, now: Time, team: TeamId, target: ItemKey) -> RequestId {
        self.last_sequence += 1;
        let id = RequestId {
            region: self.region.clone(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        };
        let stage = Stage::Received { instance: self.instance.clone() };
        let timeline = vec![TimelineEntry { after: Default::default(), stage }];
        let record = RequestRecord { id: id.clone(), team, target, outcome: None, timeline };
        self.enqueue(record.clone());
        self.open.push(OpenRecord { sequence: self.last_sequence, received: now, record });
        id
    }

    /// Adds a stage to an open record; ignores requests of other instances.
    pub fn record_stage(&mut self, now: Time, id: &RequestId, stage: Stage) {
        if let Some(index) = self.index_of(id) {
            let open = &mut self.open[index];
            open.record.timeline.push(TimelineEntry { after: now - open.received, stage });
        }
    }

    /// Time since an open request was received; `None` for a request of another instance.
    pub fn elapsed(&self, now: Time, id: &RequestId) -> Option<Duration> {
        self.index_of(id).map(|index| now - self.open[index].received)
    }

    /// Closes a record; ignores a request whose record is already closed.
    pub fn end(&mut self, now: Time, id: &RequestId, outcome: Outcome, reason: &str) {
        self.record_stage(now, id, Stage::Ended { outcome, reason: SmolStr::new(reason) });
        let Some(index) = self.index_of(id) else { return };
        let mut record = self.open.remove(index).record;
        record.outcome = Some(outcome);
        self.enqueue_ended(record.clone());
        if self.recent.len() == MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }

    fn index_of(&self, id: &RequestId) -> Option<usize> {
        let index = self.open.binary_search_by_key(&id.sequence, |it| it.sequence).ok()?;
        (self.open[index].record.id == *id).then_some(index)
    }

    /// The record of a request, if it is open or among the last ones that ended.
    pub fn find(&self, id: &RequestId) -> Option<&RequestRecord> {
        let mut records = self.open.iter().map(|it| &it.record).chain(&self.recent);
        records.find(|it| it.id == *id)
    }

    /// Removes and returns the oldest waiting records, at most `most`.
    pub fn take_batch(&mut self, most: usize) -> Vec<RequestRecord> {
        let count = most.min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }

    /// Puts a batch that no keeper accepted back at the front of the queue.
    pub fn put_back(&mut self, batch: Vec<RequestRecord>) {
        for record in batch.into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.trim();
    }

    /// Queues an ended record, replacing its open state if that is still waiting.
    fn enqueue_ended(&mut self, record: RequestRecord) {
        let latest = self.waiting.iter_mut().rev().take(MAX_SEARCHED_RECORDS);
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
        while self.waiting.len() > MAX_WAITING_RECORDS {
            self.waiting.pop_front();
            metrics::counter!(DROPPED_RECORDS).increment(1);
        }
    }
}
