//! Settings of emulated upstreams; one process runs all upstreams that its file lists.
//!
//! ```yaml
//! key: [deployment.key]
//! upstreams:
//!   - id: engine-riga
//!     zone: riga-a
//!     address: 127.0.0.1:8001
//!     control: 127.0.0.1:8101
//!     announce_to: [127.0.0.1:7101]
//!     kind:
//!       engine:
//!         models: [{ model: medlar, version: v1 }]
//!     slots: 8
//!     speed: 200             # generated tokens per second of a single stream
//!     prefill: 20000         # prompt tokens per second
//!     cache: 100000          # size of the prefix cache, in tokens
//!     fencing: true
//!     lag_ms: 300            # age of load reports
//! ```

use std::{net::SocketAddr, path::Path, time::Duration};

use medlarlug_core::{
    announcement::{LoadedModel, UpstreamKind},
    ids::{UpstreamId, ZoneId},
    units::{Rate, Slots, Tokens},
};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::settings::{
    error::{LineFault, SettingsError},
    key::DeploymentKeys,
    process::load_keys,
    source::{self, Lined, Text, address, bounded, duplicate, id, invalid, rate},
};

/// Largest permitted value of `count`.
pub const MAX_COUNT: u64 = 1_000;

const MAX_SLOTS: u64 = 4_096;
const MAX_CACHE_TOKENS: u64 = 1 << 40;
const MAX_DELAY_MS: u64 = 60_000;

/// Settings of a stand-in process.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// Keys that sign announcements.
    pub keys: DeploymentKeys,
    /// The upstreams, sorted by id.
    pub upstreams: Vec<UpstreamSettings>,
}

/// Settings of one emulated upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// The upstream.
    pub id: UpstreamId,
    /// Availability zone that it announces.
    pub zone: ZoneId,
    /// Address at which it accepts requests and orders.
    pub address: SocketAddr,
    /// Address that it announces, if requests reach it through a relay; otherwise `address`.
    pub announced: SocketAddr,
    /// Address of the control port, which injects faults and reports what ran.
    pub control: SocketAddr,
    /// Internal addresses of the entry instances to which it sends announcements.
    pub announce_to: Vec<SocketAddr>,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Generated tokens per second of a stream that runs alone.
    pub decode_rate: Rate,
    /// Prompt tokens per second.
    pub prefill_rate: Rate,
    /// Size of the prefix cache.
    pub cache: Tokens,
    /// Whether it refuses orders with an outdated fencing token.
    pub fencing: bool,
    /// Age of the load reports that it sends.
    pub report_lag: Duration,
    /// Whether a prompt that holds [`CRASH_MARKER`](crate::standin::CRASH_MARKER) or
    /// [`LATE_CRASH_MARKER`](crate::standin::LATE_CRASH_MARKER) crashes it.
    pub has_crash_marker: bool,
    /// Time that a call to a plain service takes.
    pub service_time: Duration,
}

impl StandinSettings {
    /// Reads and checks the settings of a stand-in process.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or a value is not valid; reports the first such value.
    pub fn load(file: &Path) -> Result<StandinSettings, SettingsError> {
        let raw: RawStandin = source::read(file)?;
        let keys = load_keys(file, &raw.key)?;
        let upstreams =
            check_upstreams(&raw.upstreams).map_err(|it| it.in_file(file.to_owned()))?;
        Ok(StandinSettings { keys, upstreams })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawStandin {
    key: Lined<Vec<Text>>,
    upstreams: Vec<RawUpstream>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUpstream {
    id: Text,
    zone: Text,
    address: Text,
    announced: Option<Text>,
    control: Text,
    announce_to: Vec<Text>,
    kind: UpstreamKind,
    slots: Lined<u64>,
    speed: Option<Lined<f64>>,
    prefill: Option<Lined<f64>>,
    cache: Option<Lined<u64>>,
    #[serde(default)]
    fencing: bool,
    lag_ms: Option<Lined<u64>>,
    #[serde(default)]
    crash_marker: bool,
    work_ms: Option<Lined<u64>>,
    /// Expands the entry to this many upstreams; the ids get the suffixes `-0`, `-1`, ..., and the
    /// ports count up.
    count: Option<Lined<u64>>,
}

const DEFAULT_DECODE_TOKENS_PER_S: f64 = 50.0;
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 20_000.0;
const DEFAULT_CACHE: Tokens = Tokens(100_000);
const DEFAULT_LAG_MS: u64 = 300;
const DEFAULT_WORK_MS: u64 = 20;

fn check_upstreams(raw: &[RawUpstream]) -> Result<Vec<UpstreamSettings>, LineFault> {
    let mut upstreams: Vec<UpstreamSettings> = Vec::new();
    let mut used: Vec<SocketAddr> = Vec::new();
    for it in raw {
        for upstream in expand(it, &check_upstream(it)?)? {
            reserve_address("upstreams.address", upstream.address, &it.address, &mut used)?;
            reserve_address("upstreams.control", upstream.control, &it.control, &mut used)?;
            match upstreams.binary_search_by(|other| other.id.cmp(&upstream.id)) {
                Ok(_) => return Err(duplicate("upstreams.id", &it.id)),
                Err(index) => upstreams.insert(index, upstream),
            }
        }
    }
    Ok(upstreams)
}

/// Adds `address` to the `used` ones, which stay sorted; fails if it is among them already.
fn reserve_address(
    field: &str,
    address: SocketAddr,
    text: &Text,
    used: &mut Vec<SocketAddr>,
) -> Result<(), LineFault> {
    match used.binary_search(&address) {
        Ok(_) => Err(duplicate(field, &Text { value: address.to_smolstr(), ..text.clone() })),
        Err(index) => {
            used.insert(index, address);
            Ok(())
        }
    }
}

fn check_upstream(raw: &RawUpstream) -> Result<UpstreamSettings, LineFault> {
    let announce_to: Result<Vec<SocketAddr>, LineFault> =
        raw.announce_to.iter().map(|it| address("upstreams.announce_to", it)).collect();
    let decode_rate = raw.speed.as_ref().map(|it| rate("upstreams.speed", it)).transpose()?;
    let prefill_rate = raw.prefill.as_ref().map(|it| rate("upstreams.prefill", it)).transpose()?;
    let checked = |field, value: &Option<Lined<u64>>, default, max| {
        value.as_ref().map_or(Ok(default), |it| bounded(field, it, 0, max))
    };
    Ok(UpstreamSettings {
        id: id("upstreams.id", &raw.id)?,
        zone: id("upstreams.zone", &raw.zone)?,
        address: address("upstreams.address", &raw.address)?,
        announced: address("upstreams.announced", raw.announced.as_ref().unwrap_or(&raw.address))?,
        control: address("upstreams.control", &raw.control)?,
        announce_to: announce_to?,
        kind: with_sorted_models(raw.kind.clone()),
        slots: Slots(bounded("upstreams.slots", &raw.slots, 1, MAX_SLOTS)? as u32),
        decode_rate: decode_rate.unwrap_or(constant_rate(DEFAULT_DECODE_TOKENS_PER_S)),
        prefill_rate: prefill_rate.unwrap_or(constant_rate(DEFAULT_PREFILL_TOKENS_PER_S)),
        cache: Tokens(checked("upstreams.cache", &raw.cache, DEFAULT_CACHE.0, MAX_CACHE_TOKENS)?),
        fencing: raw.fencing,
        report_lag: Duration::from_millis(checked(
            "upstreams.lag_ms",
            &raw.lag_ms,
            DEFAULT_LAG_MS,
            MAX_DELAY_MS,
        )?),
        has_crash_marker: raw.crash_marker,
        service_time: Duration::from_millis(checked(
            "upstreams.work_ms",
            &raw.work_ms,
            DEFAULT_WORK_MS,
            MAX_DELAY_MS,
        )?),
    })
}

fn constant_rate(value: f64) -> Rate {
    Rate::try_from(value).expect("the constant is above zero")
}

fn with_sorted_models(kind: UpstreamKind) -> UpstreamKind {
    let UpstreamKind::Engine { mut models } = kind else {
        return kind;
    };
    models.iter_mut().for_each(|it: &mut LoadedModel| it.adapters.sort());
    models.sort();
    UpstreamKind::Engine { models }
}

/// The upstreams that an entry with `count` defines, or `template` if it has none.
fn expand(
    raw: &RawUpstream,
    template: &UpstreamSettings,
) -> Result<Vec<UpstreamSettings>, LineFault> {
    let Some(count) = &raw.count else {
        return Ok(vec![template.clone()]);
    };
    let count = bounded("upstreams.count", count, 1, MAX_COUNT)?;
    (0..count as u16)
        .map(|index| {
            let name = Text { value: format_smolstr!("{}-{index}", template.id), ..raw.id.clone() };
            Ok(UpstreamSettings {
                id: id("upstreams.id", &name)?,
                address: offset_port(template.address, index, &raw.address)?,
                announced: offset_port(template.announced, index, &raw.address)?,
                control: offset_port(template.control, index, &raw.control)?,
                ..template.clone()
            })
        })
        .collect()
}

fn offset_port(address: SocketAddr, offset: u16, text: &Text) -> Result<SocketAddr, LineFault> {
    let valid: SmolStr = "a port that leaves room for `count` ports above it".into();
    let port = address.port().checked_add(offset);
    let port = port.ok_or_else(|| invalid("upstreams.address", text, &valid))?;
    Ok(SocketAddr::new(address.ip(), port))
}
