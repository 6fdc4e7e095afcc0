//! Software versions of the streams of recent calls, for callers that resume a stream.
//!
//! A caller whose connection broke comes to any entry instance and names the call that brought the
//! first event of its stream. The stream may go on only at the software version that wrote this
//! event ([`StreamVersion`](super::stream_version::StreamVersion)), so the instance has to find out
//! which one that was:
//!
//! * The instance that relayed the first event remembers the version in its [`StreamBindings`].
//! * Unless all instances can tell that a single version has served for as long as a stream may last,
//!   it also sends the binding to a few [`holders`], which a hash of the call chooses in each region.
//! * An instance that does not know a stream asks the holders, and decides by their answers and by its
//!   own view ([`BindingQuery`]). It never guesses: a stream whose version stays unknown does not go on.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    gateway::{placement::rendezvous_rank, software_version::SoftwareVersion, table::ServiceName},
    ids::InstanceId,
    time::Time,
};

/// Maximum number of streams that an instance remembers. At the largest planned load an instance
/// relays some ten streams a second, and each is remembered for less than a minute.
const MAX_BINDINGS: usize = 16_384;

/// The software version to which a stream is bound, and the service that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBinding {
    /// The service that writes the stream.
    pub service: ServiceName,
    /// The version that wrote its first event.
    pub software: SoftwareVersion,
}

/// A binding as one instance sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingRecord {
    /// Id of the call that brought the first event of the stream.
    pub call: SmolStr,
    /// The binding of the stream.
    pub binding: StreamBinding,
    /// Time for which the caller may still resume the stream, in milliseconds.
    pub lifetime_ms: u32,
}

/// A stream that an instance remembers.
#[derive(Debug, Clone)]
struct KnownStream {
    call: SmolStr,
    binding: StreamBinding,
    expires: Time,
    /// Longest time for which the stream may last.
    max_age: Duration,
    /// Whether the holders have been sent the binding, or this instance is one of them.
    is_published: bool,
}

/// The streams that an instance remembers, sorted by call.
#[derive(Debug, Clone, Default)]
pub struct StreamBindings {
    known: Vec<KnownStream>,
}

impl StreamBindings {
    /// Remembers a stream that this instance relays, which may last for `max_age`, until `expires`. A
    /// stream keeps its first binding. Returns false if another stream had to be forgotten for it.
    pub fn bind(
        &mut self,
        now: Time,
        call: &SmolStr,
        binding: StreamBinding,
        max_age: Duration,
        expires: Time,
    ) -> bool {
        let call = call.clone();
        self.insert(now, KnownStream { call, binding, expires, max_age, is_published: false })
    }

    /// Remembers a stream that another instance relays. Returns false if another stream had to be
    /// forgotten for it.
    pub fn learn(&mut self, now: Time, record: BindingRecord) -> bool {
        let BindingRecord { call, binding, lifetime_ms } = record;
        let lifetime = Duration::from_millis(lifetime_ms.into());
        let (expires, max_age) = (now + lifetime, lifetime);
        self.insert(now, KnownStream { call, binding, expires, max_age, is_published: true })
    }

    fn insert(&mut self, now: Time, stream: KnownStream) -> bool {
        let at = match self.known.binary_search_by(|it| it.call.cmp(&stream.call)) {
            Ok(at) => {
                let known = &mut self.known[at];
                known.expires = known.expires.max(stream.expires);
                return true;
            }
            Err(at) => at,
        };
        self.known.insert(at, stream);
        if self.known.len() <= MAX_BINDINGS {
            return true;
        }
        self.forget_expired(now);
        if self.known.len() <= MAX_BINDINGS {
            return true;
        }
        let first = (0..self.known.len()).min_by_key(|at| self.known[*at].expires);
        first.is_none_or(|first| {
            self.known.remove(first);
            false
        })
    }

    /// The binding of the stream that `call` began.
    pub fn get(&self, now: Time, call: &str) -> Option<&StreamBinding> {
        let at = self.known.binary_search_by(|it| it.call.as_str().cmp(call)).ok()?;
        Some(&self.known[at]).filter(|it| now < it.expires).map(|it| &it.binding)
    }

    /// The streams of this instance that have not been sent to their holders and for which `is_needed`
    /// returns true, given their service and how long they may last. They count as sent from now on.
    pub fn take_unpublished(
        &mut self,
        now: Time,
        mut is_needed: impl FnMut(&ServiceName, Duration) -> bool,
    ) -> Vec<BindingRecord> {
        let unpublished = self.known.iter_mut().filter(|it| {
            !it.is_published && now < it.expires && is_needed(&it.binding.service, it.max_age)
        });
        let records = unpublished.map(|it| {
            it.is_published = true;
            let lifetime_ms = (it.expires - now).as_millis();
            BindingRecord {
                call: it.call.clone(),
                binding: it.binding.clone(),
                lifetime_ms: u32::try_from(lifetime_ms).unwrap_or(u32::MAX),
            }
        });
        records.collect()
    }

    /// Whether any stream of this instance has not been sent to its holders.
    pub fn has_unpublished(&self) -> bool {
        self.known.iter().any(|it| !it.is_published)
    }

    /// Forgets streams that their callers no longer resume.
    pub fn forget_expired(&mut self, now: Time) {
        self.known.retain(|it| now < it.expires);
    }

    /// Number of remembered streams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// The `count` instances out of `instances` that hold the binding of a stream, in order of preference.
/// Instances that know the same others choose the same ones.
///
/// ```
/// use medlarlug_core::{gateway::stream_bindings::holders, ids::InstanceId};
///
/// let all: Vec<InstanceId> = (1..9).map(|at| format!("entry-{at}").parse().unwrap()).collect();
/// let two = holders("9c41d07be2a35f68", &all, 2);
/// assert_eq!(two, holders("9c41d07be2a35f68", &all, 3)[..2]);
/// ```
pub fn holders(call: &str, instances: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut ranked: Vec<(u64, &InstanceId)> =
        instances.iter().map(|it| (rendezvous_rank(call, it.as_str()), it)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|it| it.1.clone()).collect()
}

/// What an instance can tell about the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BindingAnswer {
    /// It knows the stream.
    Bound(StreamBinding),
    /// It does not know the stream, but only this version has served since the stream began.
    Only(SoftwareVersion),
    /// It does not know the stream, and several versions have served since.
    Several,
    /// It does not know the stream, nor which versions have served since.
    Unsure,
}

/// Collects what instances tell about the version of one stream.
#[derive(Debug, Clone)]
pub struct BindingQuery {
    service: ServiceName,
    /// Whether the caller names the call, so that a holder may know the stream.
    is_named: bool,
    bound: Option<StreamBinding>,
    only: Option<SoftwareVersion>,
    has_several: bool,
}

impl BindingQuery {
    /// A query about a stream, of `service` if nothing tells otherwise. `is_named` tells whether the
    /// caller names the call that brought its first event.
    pub fn new(service: ServiceName, is_named: bool) -> BindingQuery {
        BindingQuery { service, is_named, bound: None, only: None, has_several: false }
    }

    /// Adds what one instance tells.
    pub fn record(&mut self, answer: BindingAnswer) {
        match answer {
            BindingAnswer::Bound(binding) => self.bound = Some(binding),
            BindingAnswer::Only(version) => {
                self.has_several |= self.only.as_ref().is_some_and(|it| *it != version);
                self.only = Some(version);
            }
            BindingAnswer::Several => self.has_several = true,
            BindingAnswer::Unsure => {}
        }
    }

    /// Whether no further answers are needed.
    pub fn is_decided(&self) -> bool {
        self.bound.is_some() || !self.is_named && (self.only.is_some() || self.has_several)
    }

    /// The binding of the stream; `None` if it is unknown.
    pub fn result(&self) -> Option<StreamBinding> {
        if self.bound.is_some() {
            return self.bound.clone();
        }
        let software = self.only.clone().filter(|_| !self.has_several)?;
        Some(StreamBinding { service: self.service.clone(), software })
    }
}
