//! The encoding of a batch of records, with each name once.
//!
//! Most of a record is names: instance, team, target, upstream, reason. A batch holds them in
//! tables, and its rows hold places in these. Request numbers are differences to the row before;
//! times are whole microseconds.
//!
//! The module is made for `#[serde(with = "...")]` on a `Vec<RequestRecord>`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _, ser::Error as _};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::{
    ids::{IdError, Incarnation, InstanceId, RegionId, RequestId, TeamId},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
};

/// Why bytes are no batch of records.
#[derive(Debug, Error)]
enum BatchError {
    /// A row names a place that its table does not have.
    #[error("a record names place {place} of a table of {length}")]
    Place { place: u32, length: usize },
    /// A name is no id.
    #[error(transparent)]
    Id(#[from] IdError),
    /// The batch has more names than a place can tell.
    #[error("a batch of records holds too many names")]
    TooLarge,
}

/// What the ids of requests of one process have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Origin {
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
struct Row {
    origin: u32,
    /// Request number, as the wrapping difference to the row before.
    number: i64,
    team: u32,
    target: u32,
    outcome: Option<Outcome>,
    /// Microseconds since the request was received, and the stage.
    timeline: Vec<(u64, PackedStage)>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Packed {
    origins: Vec<Origin>,
    targets: Vec<ItemKey>,
    names: Vec<SmolStr>,
    rows: Vec<Row>,
}

/// Serializes records with each name once.
///
/// # Errors
///
/// Fails when the serializer does.
pub fn serialize<S: Serializer>(records: &[RequestRecord], to: S) -> Result<S::Ok, S::Error> {
    pack(records).map_err(S::Error::custom)?.serialize(to)
}

/// Deserializes what [`serialize`] wrote.
///
/// # Errors
///
/// Fails when the bytes are no batch of records.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<RequestRecord>, D::Error> {
    unpack(Packed::deserialize(from)?).map_err(D::Error::custom)
}

fn pack(records: &[RequestRecord]) -> Result<Packed, BatchError> {
    let mut packed = Packed::default();
    let mut last = 0;
    for record in records {
        let RequestId { region, instance, incarnation, sequence } = record.id.clone();
        let origin = place(&mut packed.origins, Origin { region, instance, incarnation })?;
        let number = sequence.wrapping_sub(last).cast_signed();
        last = sequence;
        let team = place(&mut packed.names, record.team.to_smolstr())?;
        let target = place(&mut packed.targets, record.target.clone())?;
        let names = &mut packed.names;
        let steps = record.timeline.iter().map(|it| pack_step(names, it));
        let timeline = steps.collect::<Result<_, BatchError>>()?;
        let outcome = record.outcome;
        packed.rows.push(Row { origin, number, team, target, outcome, timeline });
    }
    Ok(packed)
}

fn pack_step(
    names: &mut Vec<SmolStr>,
    step: &TimelineEntry,
) -> Result<(u64, PackedStage), BatchError> {
    let mut name = |text: SmolStr| place(names, text);
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

/// The place of an item in a table, to which it is added if it is new.
fn place<T: PartialEq>(table: &mut Vec<T>, item: T) -> Result<u32, BatchError> {
    let found = table.iter().position(|it| *it == item);
    let place = found.unwrap_or(table.len());
    if found.is_none() {
        table.push(item);
    }
    u32::try_from(place).map_err(|_| BatchError::TooLarge)
}

fn unpack(packed: Packed) -> Result<Vec<RequestRecord>, BatchError> {
    let Packed { origins, targets, names, rows } = packed;
    let mut last = 0u64;
    let mut records = Vec::with_capacity(rows.len());
    for row in rows {
        let Origin { region, instance, incarnation } = at(&origins, row.origin)?.clone();
        last = last.wrapping_add_signed(row.number);
        let id = RequestId { region, instance, incarnation, sequence: last };
        let team = TeamId::try_from(at(&names, row.team)?.clone())?;
        let target = at(&targets, row.target)?.clone();
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
    let name = |place| at(names, place).cloned();
    let stage = match stage {
        PackedStage::Received(place) => Stage::Received { instance: name(place)?.try_into()? },
        PackedStage::Forwarded(place) => Stage::Forwarded { zone: name(place)?.try_into()? },
        PackedStage::Sent(place) => Stage::Sent { upstream: name(place)?.try_into()? },
        PackedStage::FirstByte => Stage::FirstByte,
        PackedStage::Retried(place) => Stage::Retried { reason: name(place)? },
        PackedStage::Ended(outcome, place) => Stage::Ended { outcome, reason: name(place)? },
    };
    Ok(TimelineEntry { after: Duration::from_micros(micros), stage })
}

fn at<T>(table: &[T], place: u32) -> Result<&T, BatchError> {
    let found = usize::try_from(place).ok().and_then(|it| table.get(it));
    found.ok_or(BatchError::Place { place, length: table.len() })
}
