//! Which contents are quarantined, given the known crashes.

use std::sync::Arc;

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CrashId, QUARANTINE_CRASHES_ISOLATED, QUARANTINE_CRASHES_SHARED, records::CrashRecords,
    },
    time::Time,
};

/// Of contents with equal evidence, those that this many times as many requests held as the rarest are less
/// likely at fault.
const MAX_HOLDER_RATIO: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Quarantine {
    pub(super) fingerprint: Fingerprint,
    pub(super) last_crash: Time,
    pub(super) crashes: usize,
    isolated: usize,
    /// Number of its trials that crashed their upstream.
    pub(super) failed: usize,
    /// The contents that the same requests held at these crashes, this one included; any of them may be
    /// at fault.
    pub(super) group: Arc<[Fingerprint]>,
}

/// One crash that a content may have caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    fingerprint: Fingerprint,
    at: Time,
    /// Index of the crash.
    crash: usize,
    /// Whether only one request may have caused the crash.
    is_isolated: bool,
    /// Whether the content ran there as a trial.
    is_trial: bool,
}

/// The quarantined contents, and the crashes that they explain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Sorted by content.
    pub(super) quarantines: Vec<Quarantine>,
    /// The crashes that count against a quarantined content, and therefore against no other; sorted.
    explained: Vec<CrashId>,
    /// The contents that had the strongest evidence at some point, sorted. As long as there is no more
    /// evidence, the verdict does not depend on any other.
    compared: Vec<Fingerprint>,
}

impl Verdict {
    /// Finds the contents to quarantine, those with the strongest evidence first. A crash that a quarantined
    /// content explains counts against no other content.
    pub(super) fn of(records: &CrashRecords) -> Verdict {
        let evidence = evidence(records);
        let mut is_explained = vec![false; records.crashes().len()];
        let (mut quarantines, mut compared) = (Vec::new(), Vec::new());
        loop {
            let unexplained = evidence.iter().filter(|it| !is_explained[it.crash]).copied();
            let unexplained: Vec<Evidence> = unexplained.collect();
            let crashes = records.crashes().iter().zip(&is_explained).filter(|it| !it.1);
            let mut times: Vec<Time> = crashes.map(|it| it.0.at).collect();
            times.sort_unstable();
            let candidates: Vec<Quarantine> = unexplained
                .chunk_by(|a, b| a.fingerprint == b.fingerprint)
                .filter_map(|evidence| candidate(evidence, &times))
                .collect();
            let Some(strongest) = candidates.iter().map(Quarantine::strength).max() else {
                break;
            };
            let strongest: Vec<Quarantine> =
                candidates.into_iter().filter(|it| it.strength() == strongest).collect();
            compared.extend(strongest.iter().map(|it| it.fingerprint));
            for quarantine in most_specific(records, strongest) {
                let begin = evidence.partition_point(|it| it.fingerprint < quarantine.fingerprint);
                let own = evidence[begin..].iter();
                own.take_while(|it| it.fingerprint == quarantine.fingerprint)
                    .for_each(|it| is_explained[it.crash] = true);
                quarantines.push(quarantine);
            }
        }
        quarantines.sort_by_key(|it| it.fingerprint);
        let explained = records.crashes().iter().zip(is_explained).filter(|it| it.1);
        compared.sort_unstable();
        compared.dedup();
        let explained = explained.map(|it| it.0.key.clone()).collect();
        Verdict { quarantines, explained, compared }
    }

    pub(super) fn quarantine(&self, fingerprint: Fingerprint) -> Option<&Quarantine> {
        let found =
            self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint).ok()?;
        Some(&self.quarantines[found])
    }

    /// Whether less evidence against a content may change the verdict.
    pub(super) fn compares(&self, fingerprint: Fingerprint) -> bool {
        self.compared.binary_search(&fingerprint).is_ok()
    }

    pub(super) fn explains(&self, crash: &CrashId) -> bool {
        self.explained.binary_search(crash).is_ok()
    }
}

impl Quarantine {
    /// Sort key: crashes that nothing else can have caused, then all crashes.
    fn strength(&self) -> (usize, usize) {
        (self.isolated, self.crashes)
    }
}

/// The evidence against all contents that may have enough of it, sorted by content and time.
fn evidence(records: &CrashRecords) -> Vec<Evidence> {
    let mut evidence = Vec::new();
    let mut isolated = vec![None; records.crashes().len()];
    for fingerprint in records.repeated() {
        for crash in records.counted(fingerprint).filter_map(|it| records.find(it).ok()) {
            let record = &records.crashes()[crash];
            let is_isolated = *isolated[crash].get_or_insert_with(|| record.is_isolated());
            let (at, is_trial) = (record.at, record.was_trial(fingerprint));
            evidence.push(Evidence { fingerprint, at, crash, is_isolated, is_trial });
        }
    }
    evidence.sort_unstable();
    evidence
}

/// The quarantine of the content that all of `evidence` is about, if there is enough of it. `times` are
/// those of all crashes that may count against it, sorted.
fn candidate(evidence: &[Evidence], times: &[Time]) -> Option<Quarantine> {
    let crashes = evidence.len();
    let isolated = evidence.iter().filter(|it| it.is_isolated).count();
    let failed = evidence.iter().filter(|it| it.is_trial).count();
    let is_likely = crashes >= QUARANTINE_CRASHES_ISOLATED && isolated > 0;
    if !is_likely && !prevails(evidence, times) {
        return None;
    }
    let &Evidence { fingerprint, at: last_crash, .. } = evidence.last()?;
    let group = Arc::new([fingerprint]);
    Some(Quarantine { fingerprint, last_crash, crashes, isolated, failed, group })
}

/// Whether there is a span of time in which a content was in flight at
/// [`QUARANTINE_CRASHES_SHARED`] crashes or more, and at no fewer than half of all. `evidence` is that
/// against the content, sorted by time.
fn prevails(evidence: &[Evidence], times: &[Time]) -> bool {
    // For a span from the crash `first` of the content to its crash `last`, the content's crashes are
    // `last - first + 1`, and all crashes are `ends - begins`, of which twice the former is the most.
    let begins = |it: &Evidence| times.partition_point(|time| *time < it.at) as i64;
    let ends = |it: &Evidence| times.partition_point(|time| *time <= it.at) as i64;
    let mut best = i64::MIN;
    let spans = evidence.iter().zip(evidence.iter().skip(QUARANTINE_CRASHES_SHARED - 1));
    for (number, (first, last)) in (0..).zip(spans) {
        best = best.max(begins(first) - 2 * number);
        let last_number = number + QUARANTINE_CRASHES_SHARED as i64 - 1;
        if ends(last) - 2 * (last_number + 1) <= best {
            return true;
        }
    }
    false
}

/// Those of the candidates that are most likely at fault, with their groups.
///
/// A content that most requests hold is in flight at every crash, so one that only some of its
/// requests hold explains the same crashes better. A single request is in flight at several crashes
/// if it is retried, so one that different requests have in common explains them better, too. And
/// a content that many of the interrupted requests held had run until then in most of them, while one
/// at fault crashes the upstream of each.
fn most_specific(records: &CrashRecords, candidates: Vec<Quarantine>) -> Vec<Quarantine> {
    if candidates.len() == 1 {
        return candidates;
    }
    let with_holders = candidates.into_iter().map(|it| (records.holders(it.fingerprint), it));
    let mut held: Vec<(&[Fingerprint], Quarantine)> = with_holders.collect();
    held.sort_by(|a, b| a.0.cmp(b.0));
    let groups: Vec<&[(&[Fingerprint], Quarantine)]> = held.chunk_by(|a, b| a.0 == b.0).collect();
    let is_narrower = |one: &[Fingerprint], than: &[Fingerprint]| {
        one.len() < than.len() && one.iter().all(|it| than.binary_search(it).is_ok())
    };
    let mut specific = groups.clone();
    specific.retain(|own| !groups.iter().any(|other| is_narrower(other[0].0, own[0].0)));
    let are_shared = specific.iter().any(|it| it[0].0.len() > 1);
    specific.retain(|it| it[0].0.len() > 1 || !are_shared);
    let fewest = specific.iter().map(|it| it[0].0.len()).min().unwrap_or_default();
    let rarest = specific.into_iter().filter(|it| it[0].0.len() <= MAX_HOLDER_RATIO * fewest);
    let with_group = rarest.flat_map(|same| {
        let group: Arc<[Fingerprint]> = same.iter().map(|it| it.1.fingerprint).collect();
        same.iter().map(move |it| Quarantine { group: group.clone(), ..it.1.clone() })
    });
    with_group.collect()
}
