//! Settings of an entry instance or a keeper.
//!
//! ```yaml
//! instance: entry-1
//! cluster: cluster.yaml          # relative to this file
//! key: [deployment.key]          # the first key signs, all keys verify
//! operators:
//!   - { id: anna, key: 00112233445566778899aabbccddeeff }
//! limits: { body_bytes: 1048576 }
//! drain_seconds: 30
//! log: info
//! data: data/entry-1
//! resources: { memory_mb: 512, descriptors: 4096 }
//! ```

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{InstanceId, OperatorId},
    units::ByteSize,
};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr};

use crate::{
    settings::{
        cluster::{ClusterSettings, Peer, PeerKind},
        error::{Fault, LineFault, SettingsError},
        key::{self, DeploymentKeys, MAX_KEYS},
        limits::{Limits, RawLimits},
        source::{self, Lined, Text, bounded, duplicate, id, invalid, resolve_beside, unknown},
    },
    telemetry::logs::LogLevel,
};

/// Default of `drain_seconds`.
pub const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest permitted value of `drain_seconds`.
pub const MAX_DRAIN_SECONDS: u64 = 3_600;

/// Settings of an entry instance.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Id under which the cluster file lists this entry instance.
    pub instance: InstanceId,
    /// The cluster file.
    pub cluster: ClusterSettings,
    /// Keys for messages between processes.
    pub keys: DeploymentKeys,
    /// Who may use the operators' port, sorted by id.
    pub operators: Vec<Operator>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Longest time that requests in flight have to finish during a graceful shutdown.
    pub drain_timeout: Duration,
    /// Level of the logs at the start.
    pub log: LogLevel,
    /// Data folder; `None` if the instance has no disk.
    pub data: Option<PathBuf>,
    /// Resources of the process.
    pub resources: Resources,
}

/// Resources that a process may use; `None` for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Memory above which the process is killed.
    pub memory: Option<ByteSize>,
    /// Open file descriptors, sockets included.
    pub descriptors: Option<u32>,
}

/// Settings of a keeper.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Id under which the cluster file lists this keeper.
    pub instance: InstanceId,
    /// The cluster file.
    pub cluster: ClusterSettings,
    /// Keys for messages between processes.
    pub keys: DeploymentKeys,
    /// Who may use the operators' port, sorted by id.
    pub operators: Vec<Operator>,
    /// Longest time that pending messages have during a graceful shutdown.
    pub drain_timeout: Duration,
    /// Level of the logs at the start.
    pub log: LogLevel,
    /// Data folder with the durable state; `None` for a volatile voter.
    pub data: Option<PathBuf>,
    /// Whether a group may be formed when all its voters start with new storage.
    pub may_form: bool,
    /// Resources of the process.
    pub resources: Resources,
}

/// An operator who may use the operators' port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The operator.
    pub id: OperatorId,
    /// Fingerprint of the operator's bearer key.
    pub key: Fingerprint,
}

impl EntrySettings {
    /// Reads and checks the settings of an entry instance and the files that they refer to.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read, when a value is not valid, or when the cluster file has no
    /// such entry instance.
    pub fn load(file: &Path) -> Result<EntrySettings, SettingsError> {
        let mut raw: RawProcess = source::read(file)?;
        if let Some(may_form) = &raw.may_form {
            let fault = invalid("may_form", may_form, "it to keepers only");
            return Err(fault.in_file(file.to_owned()));
        }
        let limits = raw.limits.take().map_or_else(RawLimits::default, |it| it.value);
        let limits = Limits::try_from(limits).map_err(|it| it.in_file(file.to_owned()))?;
        let common = CommonSettings::load(file, raw, PeerKind::Entry)?;
        Ok(EntrySettings {
            instance: common.instance,
            cluster: common.cluster,
            keys: common.keys,
            operators: common.operators,
            limits,
            drain_timeout: common.drain_timeout,
            log: common.log,
            data: common.data,
            resources: common.resources,
        })
    }

    /// The entry of this instance in the cluster file.
    pub fn peer(&self) -> &Peer {
        self.cluster.peer(&self.instance).expect("the settings were checked")
    }

    /// The operator who owns the bearer key with this fingerprint.
    pub fn operator_of(&self, key: Fingerprint) -> Option<&OperatorId> {
        operator_of(&self.operators, key)
    }
}

impl KeeperSettings {
    /// Reads and checks the settings of a keeper and the files that they refer to.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read, when a value is not valid, when the cluster file has no such
    /// keeper, or when `data` contradicts `durable` in the cluster file.
    pub fn load(file: &Path) -> Result<KeeperSettings, SettingsError> {
        let raw: RawProcess = source::read(file)?;
        if let Some(limits) = &raw.limits {
            let fault = Fault::Invalid {
                field: "limits".into(),
                text: "limits".into(),
                valid: "them to entry instances only".into(),
            };
            return Err(source::fault(limits, fault).in_file(file.to_owned()));
        }
        let may_form = raw.may_form.as_ref().is_none_or(|it| it.value);
        let location = raw.data.clone().unwrap_or_else(|| raw.instance.clone());
        let common = CommonSettings::load(file, raw, PeerKind::Keeper)?;
        let durable = common.cluster.peer(&common.instance).is_some_and(|it| it.durable);
        if durable != common.data.is_some() {
            let valid = if durable {
                "a folder, because the cluster file calls this keeper durable"
            } else {
                "no folder, or call this keeper durable in the cluster file"
            };
            return Err(invalid("data", &location, valid).in_file(file.to_owned()));
        }
        Ok(KeeperSettings {
            instance: common.instance,
            cluster: common.cluster,
            keys: common.keys,
            operators: common.operators,
            drain_timeout: common.drain_timeout,
            log: common.log,
            data: common.data,
            may_form,
            resources: common.resources,
        })
    }

    /// The entry of this instance in the cluster file.
    pub fn peer(&self) -> &Peer {
        self.cluster.peer(&self.instance).expect("the settings were checked")
    }

    /// The operator who owns the bearer key with this fingerprint.
    pub fn operator_of(&self, key: Fingerprint) -> Option<&OperatorId> {
        operator_of(&self.operators, key)
    }
}

fn operator_of(operators: &[Operator], key: Fingerprint) -> Option<&OperatorId> {
    operators.iter().find(|it| it.key == key).map(|it| &it.id)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawProcess {
    instance: Text,
    cluster: Text,
    key: Lined<Vec<Text>>,
    #[serde(default)]
    operators: Vec<RawOperator>,
    limits: Option<Lined<RawLimits>>,
    drain_seconds: Option<Lined<u64>>,
    log: Option<Text>,
    data: Option<Text>,
    may_form: Option<Lined<bool>>,
    resources: Option<RawResources>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawResources {
    memory_mb: Option<Lined<u64>>,
    descriptors: Option<Lined<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperator {
    id: Text,
    key: Text,
}

/// Settings that entry instances and keepers share.
struct CommonSettings {
    instance: InstanceId,
    cluster: ClusterSettings,
    keys: DeploymentKeys,
    operators: Vec<Operator>,
    drain_timeout: Duration,
    log: LogLevel,
    data: Option<PathBuf>,
    resources: Resources,
}

impl CommonSettings {
    fn load(file: &Path, raw: RawProcess, kind: PeerKind) -> Result<CommonSettings, SettingsError> {
        let cluster = ClusterSettings::load(&resolve_beside(file, &raw.cluster.value))?;
        let keys = load_keys(file, &raw.key)?;
        let in_file = |fault: LineFault| fault.in_file(file.to_owned());
        Ok(CommonSettings {
            instance: own_instance(&raw.instance, &cluster, kind).map_err(in_file)?,
            cluster,
            keys,
            operators: check_operators(&raw.operators).map_err(in_file)?,
            drain_timeout: check_drain_timeout(raw.drain_seconds.as_ref()).map_err(in_file)?,
            log: check_log_level(raw.log.as_ref()).map_err(in_file)?,
            data: raw.data.map(|it| resolve_beside(file, &it.value)),
            resources: check_resources(raw.resources).map_err(in_file)?,
        })
    }
}

fn own_instance(
    text: &Text,
    cluster: &ClusterSettings,
    kind: PeerKind,
) -> Result<InstanceId, LineFault> {
    let instance: InstanceId = id("instance", text)?;
    if cluster.peer(&instance).is_some_and(|it| it.kind == kind) {
        return Ok(instance);
    }
    let same_kind = cluster.instances.iter().filter(|it| it.kind == kind);
    let known: Vec<SmolStr> = same_kind.map(|it| it.id.to_smolstr()).collect();
    Err(unknown("instance", text, &known))
}

/// Reads the key files listed in `raw`, relative to `file`.
pub(super) fn load_keys(
    file: &Path,
    raw: &Lined<Vec<Text>>,
) -> Result<DeploymentKeys, SettingsError> {
    let keys: Result<Vec<_>, _> =
        raw.value.iter().map(|it| key::load(&resolve_beside(file, &it.value))).collect();
    DeploymentKeys::new(keys?).ok_or_else(|| {
        let fault = Fault::Invalid {
            field: "key".into(),
            text: raw.value.len().to_smolstr(),
            valid: smol_str::format_smolstr!("1 to {MAX_KEYS} key files"),
        };
        source::fault(raw, fault).in_file(file.to_owned())
    })
}

fn check_operators(raw: &[RawOperator]) -> Result<Vec<Operator>, LineFault> {
    let mut operators: Vec<Operator> = Vec::with_capacity(raw.len());
    for it in raw {
        let valid = "32 hexadecimal digits as `medlarlug key hash` prints them";
        let has_full_length = it.key.value.len() == 32;
        let key = it.key.value.parse().ok().filter(|_| has_full_length);
        let key = key.ok_or_else(|| invalid("operators.key", &it.key, valid))?;
        let operator = Operator { id: id("operators.id", &it.id)?, key };
        match operators.binary_search_by(|other| other.id.cmp(&operator.id)) {
            Ok(_) => return Err(duplicate("operators.id", &it.id)),
            Err(index) => operators.insert(index, operator),
        }
    }
    Ok(operators)
}

fn check_drain_timeout(raw: Option<&Lined<u64>>) -> Result<Duration, LineFault> {
    let Some(seconds) = raw else {
        return Ok(DEFAULT_DRAIN_TIMEOUT);
    };
    let seconds = bounded("drain_seconds", seconds, 1, MAX_DRAIN_SECONDS)?;
    Ok(Duration::from_secs(seconds))
}

fn check_resources(raw: Option<RawResources>) -> Result<Resources, LineFault> {
    let Some(RawResources { memory_mb, descriptors }) = raw else {
        return Ok(Resources::default());
    };
    let memory = memory_mb.map(|it| bounded("resources.memory_mb", &it, 64, MAX_MEMORY_MB));
    let descriptors =
        descriptors.map(|it| bounded("resources.descriptors", &it, 128, 1_000_000)).transpose()?;
    Ok(Resources {
        memory: memory.transpose()?.map(|it| ByteSize(it << 20)),
        descriptors: descriptors.map(|it| it as u32),
    })
}

/// Largest permitted value of `resources.memory_mb`.
const MAX_MEMORY_MB: u64 = 1 << 20;

fn check_log_level(raw: Option<&Text>) -> Result<LogLevel, LineFault> {
    let Some(text) = raw else {
        return Ok(LogLevel::Info);
    };
    text.value.parse().map_err(|_| invalid("log", text, "error, warn, info, debug or trace"))
}
