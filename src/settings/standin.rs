//! Settings of emulated upstreams; one process runs all that its file lists.
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
//!     speed: 200             # tokens a second of one stream that runs alone
//!     prefill: 20000         # prompt tokens a second
//!     cache: 100000          # tokens of prompt prefixes
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

/// Most upstreams that one item of the list can stand for.
pub const MAX_COUNT: u64 = 1_000;

const MAX_SLOTS: u64 = 4_096;
const MAX_CACHE_TOKENS: u64 = 1 << 40;
const MAX_LAG_MS: u64 = 60_000;

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
    /// Availability zone in which it says that it runs.
    pub zone: ZoneId,
    /// Address at which it takes requests and orders.
    pub address: SocketAddr,
    /// Address at which it takes faults and tells what ran.
    pub control: SocketAddr,
    /// Internal addresses of the entry instances that it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Tokens a second of one stream that runs alone.
    pub speed: Rate,
    /// Prompt tokens a second.
    pub prefill: Rate,
    /// Size of the prefix cache.
    pub cache: Tokens,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Age of its load reports.
    pub lag: Duration,
    /// Whether a prompt that holds [`CRASH_MARKER`](crate::standin::CRASH_MARKER) crashes it.
    pub crashes: bool,
    /// Time that a call to a plain service takes.
    pub work: Duration,
}

impl StandinSettings {
    /// Reads and checks the settings of a stand-in process.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or at the first value that is not valid.
    pub fn load(file: &Path) -> Result<StandinSettings, SettingsError> {
        let raw: RawStandin = source::read(file)?;
        let keys = load_keys(file, &raw.key)?;
        let upstreams = check_all(&raw.upstreams).map_err(|it| it.in_file(file.to_owned()))?;
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
    /// Stands for that many upstreams: their ids get `-0`, `-1`, ..., their ports rise by one.
    count: Option<Lined<u64>>,
}

const SPEED: f64 = 50.0;
const PREFILL: f64 = 20_000.0;
const CACHE: Tokens = Tokens(100_000);
const LAG_MS: u64 = 300;
const WORK_MS: u64 = 20;

fn check_all(raw: &[RawUpstream]) -> Result<Vec<UpstreamSettings>, LineFault> {
    let mut upstreams: Vec<UpstreamSettings> = Vec::new();
    let mut used: Vec<SocketAddr> = Vec::new();
    for it in raw {
        for upstream in expand(it, &check_one(it)?)? {
            claim("upstreams.address", upstream.address, &it.address, &mut used)?;
            claim("upstreams.control", upstream.control, &it.control, &mut used)?;
            match upstreams.binary_search_by(|other| other.id.cmp(&upstream.id)) {
                Ok(_) => return Err(duplicate("upstreams.id", &it.id)),
                Err(place) => upstreams.insert(place, upstream),
            }
        }
    }
    Ok(upstreams)
}

/// Notes that `address`, which stems from `text`, is used.
fn claim(
    field: &str,
    address: SocketAddr,
    text: &Text,
    used: &mut Vec<SocketAddr>,
) -> Result<(), LineFault> {
    match used.binary_search(&address) {
        Ok(_) => Err(duplicate(field, &Text { value: address.to_smolstr(), ..text.clone() })),
        Err(place) => {
            used.insert(place, address);
            Ok(())
        }
    }
}

fn check_one(raw: &RawUpstream) -> Result<UpstreamSettings, LineFault> {
    let entries: Result<Vec<SocketAddr>, LineFault> =
        raw.announce_to.iter().map(|it| address("upstreams.announce_to", it)).collect();
    let speed = raw.speed.as_ref().map(|it| rate("upstreams.speed", it)).transpose()?;
    let prefill = raw.prefill.as_ref().map(|it| rate("upstreams.prefill", it)).transpose()?;
    let pick = |field, value: &Option<Lined<u64>>, default, max| {
        value.as_ref().map_or(Ok(default), |it| bounded(field, it, 0, max))
    };
    Ok(UpstreamSettings {
        id: id("upstreams.id", &raw.id)?,
        zone: id("upstreams.zone", &raw.zone)?,
        address: address("upstreams.address", &raw.address)?,
        control: address("upstreams.control", &raw.control)?,
        entries: entries?,
        kind: sorted(raw.kind.clone()),
        slots: Slots(bounded("upstreams.slots", &raw.slots, 1, MAX_SLOTS)? as u32),
        speed: speed.unwrap_or(fixed_rate(SPEED)),
        prefill: prefill.unwrap_or(fixed_rate(PREFILL)),
        cache: Tokens(pick("upstreams.cache", &raw.cache, CACHE.0, MAX_CACHE_TOKENS)?),
        fencing: raw.fencing,
        lag: Duration::from_millis(pick("upstreams.lag_ms", &raw.lag_ms, LAG_MS, MAX_LAG_MS)?),
        crashes: raw.crash_marker,
        work: Duration::from_millis(pick("upstreams.work_ms", &raw.work_ms, WORK_MS, MAX_LAG_MS)?),
    })
}

fn fixed_rate(value: f64) -> Rate {
    Rate::try_from(value).expect("the constant is above zero")
}

fn sorted(kind: UpstreamKind) -> UpstreamKind {
    let UpstreamKind::Engine { mut models } = kind else {
        return kind;
    };
    models.iter_mut().for_each(|it: &mut LoadedModel| it.adapters.sort());
    models.sort();
    UpstreamKind::Engine { models }
}

/// The upstreams that one item of the list stands for.
fn expand(raw: &RawUpstream, one: &UpstreamSettings) -> Result<Vec<UpstreamSettings>, LineFault> {
    let Some(count) = &raw.count else {
        return Ok(vec![one.clone()]);
    };
    let count = bounded("upstreams.count", count, 1, MAX_COUNT)?;
    (0..count as u16)
        .map(|index| {
            let name = Text { value: format_smolstr!("{}-{index}", one.id), ..raw.id.clone() };
            Ok(UpstreamSettings {
                id: id("upstreams.id", &name)?,
                address: shift(one.address, index, &raw.address)?,
                control: shift(one.control, index, &raw.control)?,
                ..one.clone()
            })
        })
        .collect()
}

fn shift(address: SocketAddr, by: u16, text: &Text) -> Result<SocketAddr, LineFault> {
    let valid: SmolStr = "a port that leaves room for `count` ports above it".into();
    let port = address.port().checked_add(by);
    let port = port.ok_or_else(|| invalid("upstreams.address", text, &valid))?;
    Ok(SocketAddr::new(address.ip(), port))
}
