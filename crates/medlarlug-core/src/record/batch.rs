//! Compact encoding of a batch of request records.
//!
//! Most of a record consists of names: instance, team, target, upstream, reason. A batch stores each name
//! once, in tables, and its rows refer to them by index. Sequence numbers are stored as differences to the
//! previous row, times as whole microseconds.
//!
//! The module is meant for `#[serde(with = "...")]` on a `Vec<RequestRecord>`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _, ser::Error as _};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::{
    ids::{IdError, Incarnation, InstanceId, RegionId, RequestId, TeamId},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
};

/// Reason for which a batch of records cannot be encoded or decoded.
#[derive(Debug, Error)]
enum BatchError {
    /// A row refers to an index beyond the end of its table.
    #[error("invalid batch of request records: index {index} into a table of {length} entries")]
    IndexOutOfRange { index: u32, length: usize },
    /// A name in a table is not a valid id.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A table has more entries than an index can represent.
    #[error("batch of request records has too many names for 32-bit indexes")]
    TooLarge,
}

/// Common part of the request ids of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Process {
    region: RegionId,
    instance: InstanceId,
    incarnation: Incarnation,
}

#[derive(Debug, Serialize, Deserialize)]
enum PackedStage {
    Received(u32),
    Forwarded(u32),
    Sent(u32),
    FirstByte,
    Retried(u32),
    Ended(Outcome, u32),
}

#[derive(Debug, Serialize, Deserialize)]
struct PackedRecord {
    #[serde(rename = "origin")]
    process: u32,
    /// Wrapping difference of the request's sequence number to that of the previous row.
    #[serde(rename = "number")]
    sequence_delta: i64,
    team: u32,
    target: u32,
    outcome: Option<Outcome>,
    /// Time since the request was received, in microseconds, and the stage.
    timeline: Vec<(u64, PackedStage)>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct PackedBatch {
    #[serde(rename = "origins")]
    processes: Vec<Process>,
    targets: Vec<ItemKey>,
    names: Vec<SmolStr>,
    rows: Vec<PackedRecord>,
}

/// Serializes a batch of records.
///
/// # Errors
///
/// Fails if a table gets more entries than an index can represent, or if the serializer fails.
pub fn serialize<S: Serializer>(records: &[RequestRecord], to: S) -> Result<S::Ok, S::Error> {
    pack(records).map_err(S::Error::custom)?.serialize(to)
}

/// Deserializes a batch that [`serialize`] wrote.
///
/// # Errors
///
/// Fails if the bytes are not an encoded batch of records.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<RequestRecord>, D::Error> {
    unpack(PackedBatch::deserialize(from)?).map_err(D::Error::custom)
}

fn pack(records: &[RequestRecord]) -> Result<PackedBatch, BatchError> {
    let mut packed = PackedBatch::default();
    let mut previous = 0;
    for record in records {
        let RequestId { region, instance, incarnation, sequence } = record.id.clone();
        let process = intern(&mut packed.processes, Process { region, instance, incarnation })?;
        let sequence_delta = sequence.wrapping_sub(previous).cast_signed();
        previous = sequence;
        let team = intern(&mut packed.names, record.team.to_smolstr())?;
        let target = intern(&mut packed.targets, record.target.clone())?;
        let names = &mut packed.names;
        let steps = record.timeline.iter().map(|it| pack_step(names, it));
        let timeline = steps.collect::<Result<_, BatchError>>()?;
        let outcome = record.outcome;
        packed.rows.push(PackedRecord { process, sequence_delta, team, target, outcome, timeline });
    }
    Ok(packed)
}

fn pack_step(
    names: &mut Vec<SmolStr>,
    step: &TimelineEntry,
) -> Result<(u64, PackedStage), BatchError> {
    let mut name = |text: SmolStr| intern(names, text);
    let stage = match &step.stage {
        Stage::Received { instance } => PackedStage::Received(name(instance.to_smolstr())?),
        Stage::Forwarded { zone } => PackedStage::Forwarded(name(zone.to_smolstr())?),
        Stage::Sent { upstream } => PackedStage::Sent(name(upstream.to_smolstr())?),
        Stage::FirstByte => PackedStage::FirstByte,
        Stage::Retried { reason } => PackedStage::Retried(name(reason.clone())?),
        Stage::Ended { outcome, reason } => PackedStage::Ended(*outcome, name(reason.clone())?),
    };
    Ok((u64::try_from(step.after.as_micros()).unwrap_or(u64::MAX), stage))
}

/// Returns the index of `item` in a table, and adds it first if it is not there yet.
fn intern<T: PartialEq>(table: &mut Vec<T>, item: T) -> Result<u32, BatchError> {
    let found = table.iter().position(|it| *it == item);
    let index = found.unwrap_or(table.len());
    if found.is_none() {
        table.push(item);
    }
    u32::try_from(index).map_err(|_| BatchError::TooLarge)
}

fn unpack(packed: PackedBatch) -> Result<Vec<RequestRecord>, BatchError> {
    let PackedBatch { processes, targets, names, rows } = packed;
    let mut previous = 0u64;
    let mut records = Vec::with_capacity(rows.len());
    for row in rows {
        let Process { region, instance, incarnation } = lookup(&processes, row.process)?.clone();
        previous = previous.wrapping_add_signed(row.sequence_delta);
        let id = RequestId { region, instance, incarnation, sequence: previous };
        let team = TeamId::try_from(lookup(&names, row.team)?.clone())?;
        let target = lookup(&targets, row.target)?.clone();
        let steps = row.timeline.into_iter().map(|it| unpack_step(&names, it));
        let timeline = steps.collect::<Result<_, BatchError>>()?;
        records.push(RequestRecord { id, team, target, outcome: row.outcome, timeline });
    }
    Ok(records)
}

fn unpack_step(
    names: &[SmolStr],
    (micros, stage): (u64, PackedStage),
) -> Result<TimelineEntry, BatchError> {
    let name = |index| lookup(names, index).cloned();
    let stage = match stage {
        PackedStage::Received(index) => Stage::Received { instance: name(index)?.try_into()? },
        PackedStage::Forwarded(index) => Stage::Forwarded { zone: name(index)?.try_into()? },
        PackedStage::Sent(index) => Stage::Sent { upstream: name(index)?.try_into()? },
        PackedStage::FirstByte => Stage::FirstByte,
        PackedStage::Retried(index) => Stage::Retried { reason: name(index)? },
        PackedStage::Ended(outcome, index) => Stage::Ended { outcome, reason: name(index)? },
    };
    Ok(TimelineEntry { after: Duration::from_micros(micros), stage })
}

fn lookup<T>(table: &[T], index: u32) -> Result<&T, BatchError> {
    let found = usize::try_from(index).ok().and_then(|it| table.get(it));
    found.ok_or(BatchError::IndexOutOfRange { index, length: table.len() })
}
