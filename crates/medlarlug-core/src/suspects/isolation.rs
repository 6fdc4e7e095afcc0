//! Requests in flight at one entry instance, and the upstreams that are reserved for suspects.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        ContentStatus, CrashId, CrashLedger, CrashReport, Effect, Event, Fact, MAX_LOGGED_CONTENTS,
        Placement, RESERVATION_LIFETIME, RequestContents,
    },
    time::Time,
};

/// Time for which a run clears its contents of further crashes. Upstreams that crash together,
/// or one after the other under a content that is retried, crash within it.
const SOUND_LIFETIME: Duration = Duration::from_secs(60);
/// Time by which an answer has to outlast the interrupted ones to show that their common parts are
/// sound. Covers how late a broken connection is noticed.
const OUTLAST_MARGIN: Duration = Duration::from_secs(2);
/// Maximum number of contents that a crash report names. Keepers forward no longer ones.
const MAX_REPORTED_CONTENTS: usize = MAX_LOGGED_CONTENTS / 2;
/// Maximum number of parts in doubt; the oldest are dropped first, and only complete answers clear them.
const MAX_DOUBTS: usize = 4_096;

/// The crashes of which one content is cleared.
#[derive(Debug, Default)]
struct Clearance {
    crashes: Vec<CrashId>,
    /// Time since the newest of them.
    age: Duration,
}

impl Clearance {
    fn add(&mut self, crash: CrashId, age: Duration) {
        self.age = if self.crashes.is_empty() { age } else { self.age.min(age) };
        if let Err(place) = self.crashes.binary_search(&crash) {
            self.crashes.insert(place, crash);
        }
    }
}

fn clearance_facts(clearances: BTreeMap<Fingerprint, Clearance>) -> Vec<Fact> {
    let facts = clearances.into_iter().map(|(fingerprint, it)| Fact::Cleared {
        fingerprint,
        crashes: it.crashes,
        age: it.age,
    });
    facts.collect()
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlightRequest {
    request: RequestId,
    contents: RequestContents,
    upstream: UpstreamId,
    incarnation: Incarnation,
    /// Whether one of its contents was a suspect or quarantined when it was sent.
    was_suspect: bool,
    /// The quarantined contents that it tests.
    trials: Vec<Fingerprint>,
    /// When its answer began.
    began: Option<Time>,
}

/// A part of a prompt that was in flight at a crash which this instance reported.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Doubt {
    part: Fingerprint,
    crash: CrashId,
    at: Time,
    /// For how long the interrupted answers to requests with the part had been written, at most.
    written: Duration,
}

/// Tracks the requests in flight at one entry instance and decides where suspected contents may run.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     ids::Incarnation,
///     suspects::{ContentStatus, Event, RequestContents, SuspectTracker},
///     time::Time,
/// };
///
/// let (mut core, mut out) = (SuspectTracker::default(), Vec::new());
/// let content = Fingerprint::of(b"content");
/// let upstream: medlarlug_core::ids::UpstreamId = "engine-1".parse().unwrap();
/// let incarnation = Incarnation(1);
/// let sent = Event::Sent {
///     request: "riga.entry-1.1.7".parse().unwrap(),
///     contents: RequestContents::new(content, Vec::new()),
///     upstream: upstream.clone(),
///     incarnation,
/// };
/// core.handle(Time::ZERO, sent, &mut out);
/// core.handle(Time::ZERO, Event::UpstreamCrashed { upstream, incarnation }, &mut out);
/// assert_eq!(core.status(Time::ZERO, content), ContentStatus::Suspect);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SuspectTracker {
    ledger: CrashLedger,
    in_flight: Vec<InFlightRequest>,
    /// Contents that a run at this instance has shown to be sound, and when one last did.
    sound: HashMap<Fingerprint, Time>,
    doubts: Vec<Doubt>,
    reservations: Vec<(UpstreamId, Time)>,
}

impl SuspectTracker {
    /// Status of the content `fingerprint` according to all known facts.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> ContentStatus {
        self.ledger.status(now, fingerprint)
    }

    /// Status of the most restricted content of a request.
    pub fn request_status(&self, now: Time, contents: &RequestContents) -> ContentStatus {
        self.ledger.request_status(now, contents)
    }

    /// Whether a request with these contents may run on `upstream`.
    pub fn placement(
        &self,
        now: Time,
        contents: &RequestContents,
        upstream: &UpstreamId,
    ) -> Placement {
        let is_suspect = match self.request_status(now, contents) {
            ContentStatus::Quarantined { .. } => return Placement::Denied,
            status => status == ContentStatus::Suspect,
        };
        let mut suspects =
            contents.iter().filter(|&it| self.status(now, it) != ContentStatus::Clear);
        let silent = self.in_flight.iter().filter(|it| it.began.is_none());
        if suspects.any(|it| silent.clone().any(|sent| sent.contents.contains(it))) {
            return Placement::Denied;
        }
        let is_empty = !self.in_flight.iter().any(|it| it.upstream == *upstream);
        match (self.has_suspect(now, upstream), is_suspect && !is_empty) {
            (true, _) => Placement::Denied,
            (false, true) => Placement::LastResort,
            (false, false) => Placement::Allowed,
        }
    }

    /// Whether a suspect runs on `upstream`, or the upstream is reserved for one.
    pub fn has_suspect(&self, now: Time, upstream: &UpstreamId) -> bool {
        let mut in_flight = self.in_flight.iter().filter(|it| it.upstream == *upstream);
        self.is_reserved(now, upstream) || in_flight.any(|it| self.is_suspect(now, it))
    }

    /// The ledger of all known facts.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Whether no crash is known and no upstream is reserved, so that every placement is allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.reservations.is_empty() && self.ledger.is_empty()
    }

    /// Incarnation of the upstream on which a request is in flight; `None` if it is not in flight.
    pub fn incarnation_of(&self, request: &RequestId) -> Option<Incarnation> {
        let found = self.in_flight.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(self.in_flight[found].incarnation)
    }

    /// Contents of a request in flight; `None` if it is not in flight.
    pub fn contents_of(&self, request: &RequestId) -> Option<&RequestContents> {
        let found = self.in_flight.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(&self.in_flight[found].contents)
    }

    /// Whether a trial of the content is in flight, or has ended without an answer and is not yet known
    /// to be inconclusive or to have crashed its upstream.
    pub fn is_on_trial(&self, fingerprint: Fingerprint) -> bool {
        self.in_flight.iter().any(|it| it.trials.contains(&fingerprint))
    }

    /// Applies facts that arrived together; the quarantines are computed once for all of them.
    pub fn apply_all(&mut self, now: Time, facts: &[Fact], out: &mut Vec<Effect>) {
        if self.ledger.apply_all(now, facts) {
            self.clear_sound(now, facts, out);
        }
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sent { request, contents, upstream, incarnation } => {
                let was_suspect = self.request_status(now, &contents) != ContentStatus::Clear;
                let trials = self.ledger.tested_contents(&contents);
                let sent = InFlightRequest {
                    request,
                    contents,
                    upstream,
                    incarnation,
                    was_suspect,
                    trials,
                    began: None,
                };
                self.insert(sent, out);
            }
            Event::Began { request } => self.begin(now, &request, out),
            Event::Completed { request } => self.complete(now, &request, out),
            Event::Inconclusive { request } => drop(self.remove(&request, out)),
            Event::UpstreamCrashed { upstream, incarnation } => {
                self.record_crash(now, upstream, incarnation, out);
            }
            Event::CrashExplained { upstream, incarnation } => {
                for sent in self.interrupted(&upstream, incarnation) {
                    self.remove(&sent.request, out);
                    out.push(Effect::Interrupted { request: sent.request });
                }
            }
            Event::FactReceived(fact) => self.apply_all(now, std::slice::from_ref(&fact), out),
            Event::Reserved { upstream, lifetime } => {
                self.reserve(upstream, now + lifetime.min(RESERVATION_LIFETIME));
            }
            Event::ReservationReleased { upstream } => {
                self.reservations.retain(|it| it.0 != upstream)
            }
            Event::Tick => {
                self.expire(now);
                self.clear_outlasted(now, out);
            }
        }
    }

    /// A request also counts as a suspect if its content became one after it was sent. Once its answer
    /// has begun it may share its upstream, as answers can take long.
    fn is_suspect(&self, now: Time, sent: &InFlightRequest) -> bool {
        let is_suspect = || self.request_status(now, &sent.contents) != ContentStatus::Clear;
        sent.began.is_none() && (sent.was_suspect || is_suspect())
    }

    fn is_reserved(&self, now: Time, upstream: &UpstreamId) -> bool {
        match self.reservations.binary_search_by(|it| it.0.cmp(upstream)) {
            Ok(found) => now < self.reservations[found].1,
            Err(_) => false,
        }
    }

    fn reserve(&mut self, upstream: UpstreamId, until: Time) {
        match self.reservations.binary_search_by(|it| it.0.cmp(&upstream)) {
            Ok(found) => self.reservations[found].1 = until,
            Err(place) => self.reservations.insert(place, (upstream, until)),
        }
    }

    fn insert(&mut self, sent: InFlightRequest, out: &mut Vec<Effect>) {
        if sent.was_suspect {
            let upstream = sent.upstream.clone();
            out.push(Effect::Reserve { upstream, lifetime: RESERVATION_LIFETIME });
        }
        match self.in_flight.binary_search_by(|it| it.request.cmp(&sent.request)) {
            Ok(found) => self.in_flight[found] = sent,
            Err(place) => self.in_flight.insert(place, sent),
        }
    }

    fn remove(&mut self, request: &RequestId, out: &mut Vec<Effect>) -> Option<InFlightRequest> {
        let found = self.in_flight.binary_search_by(|it| it.request.cmp(request)).ok()?;
        let sent = self.in_flight.remove(found);
        if sent.was_suspect && sent.began.is_none() {
            out.push(Effect::ReleaseReservation { upstream: sent.upstream.clone() });
        }
        Some(sent)
    }

    fn begin(&mut self, now: Time, request: &RequestId, out: &mut Vec<Effect>) {
        let Ok(found) = self.in_flight.binary_search_by(|it| it.request.cmp(request)) else {
            return;
        };
        let sent = &mut self.in_flight[found];
        if sent.began.is_some() {
            return;
        }
        sent.began = Some(now);
        if sent.was_suspect {
            out.push(Effect::ReleaseReservation { upstream: sent.upstream.clone() });
        }
    }

    fn complete(&mut self, now: Time, request: &RequestId, out: &mut Vec<Effect>) {
        let Some(sent) = self.remove(request, out) else {
            return;
        };
        self.clear(now, &sent.contents.iter().collect::<Vec<_>>(), out);
    }

    /// Clears contents of all known crashes, including those of other upstreams during the run: a content
    /// that crashes upstreams crashes every one that runs it.
    fn clear(&mut self, now: Time, contents: &[Fingerprint], out: &mut Vec<Effect>) {
        let mut facts = Vec::new();
        for &fingerprint in contents {
            self.sound.insert(fingerprint, now);
            let crashes = self.ledger.crashes_of(fingerprint);
            if let Some(age) = self.ledger.newest_crash_age(now, &crashes) {
                facts.push(Fact::Cleared { fingerprint, crashes, age });
            }
        }
        self.publish(now, facts, out);
    }

    /// Applies facts that this instance has found out together, and publishes them.
    fn publish(&mut self, now: Time, facts: Vec<Fact>, out: &mut Vec<Effect>) {
        self.ledger.apply_all(now, &facts);
        out.extend(facts.into_iter().map(Effect::Publish));
    }

    /// Whether a run at this instance has recently shown that the content is sound.
    fn is_sound(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.sound.get(&fingerprint).is_some_and(|shown| now - *shown < SOUND_LIFETIME)
    }

    /// The requests in flight on an incarnation of an upstream.
    fn interrupted(&self, upstream: &UpstreamId, incarnation: Incarnation) -> Vec<InFlightRequest> {
        let is_interrupted =
            |it: &&InFlightRequest| it.upstream == *upstream && it.incarnation == incarnation;
        self.in_flight.iter().filter(is_interrupted).cloned().collect()
    }

    fn record_crash(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        incarnation: Incarnation,
        out: &mut Vec<Effect>,
    ) {
        let interrupted = self.interrupted(&upstream, incarnation);
        if interrupted.is_empty() {
            return;
        }
        // Whatever the age of an answer, its request may be the cause.
        let contents =
            interrupted.iter().map(|it| it.contents.with_parts(|part| !self.is_sound(now, part)));
        let mut in_flight: Vec<RequestContents> = contents.collect();
        let omitted = self.limit_parts(&mut in_flight);
        in_flight.sort_unstable();
        in_flight.dedup();
        let mut trials: Vec<Fingerprint> =
            interrupted.iter().flat_map(|it| it.trials.iter().copied()).collect();
        trials.sort_unstable();
        trials.dedup();
        let key = CrashId { upstream, incarnation };
        if omitted > 0 {
            out.push(Effect::PartsOmitted { crash: key.clone(), count: omitted });
        }
        let report = CrashReport { key, age: Duration::ZERO, in_flight, trials };
        self.doubt(now, &report, &interrupted);
        let facts = vec![Fact::Crashed(report)];
        self.publish(now, facts.clone(), out);
        self.clear_sound(now, &facts, out);
        for sent in interrupted {
            self.remove(&sent.request, out);
            out.push(Effect::Interrupted { request: sent.request });
        }
        self.clear_outlasted(now, out);
    }

    /// Leaves out parts of the longest prompts if the requests hold more than [`MAX_REPORTED_CONTENTS`]. Parts
    /// with a crash against them are kept first. Returns the number of parts that were left out.
    fn limit_parts(&self, requests: &mut [RequestContents]) -> usize {
        let mut counts: Vec<usize> = requests.iter().map(|it| it.parts().len()).collect();
        counts.sort_unstable();
        let mut remaining = MAX_REPORTED_CONTENTS.saturating_sub(requests.len());
        let mut limit = usize::MAX;
        for (number, count) in counts.iter().enumerate() {
            let equal_share = remaining / (requests.len() - number);
            if *count > equal_share {
                limit = equal_share;
                break;
            }
            remaining -= count;
        }
        let mut omitted = 0;
        for request in requests.iter_mut().filter(|it| it.parts().len() > limit) {
            let parts = request.parts().iter().copied();
            let (mut kept, others): (Vec<Fingerprint>, Vec<Fingerprint>) =
                parts.partition(|it| self.ledger.is_doubted(*it));
            kept.extend(others);
            omitted += kept.drain(limit..).count();
            *request = RequestContents::new(request.whole(), kept);
        }
        omitted
    }

    /// Notes the reported parts of the interrupted requests, and how long their answers had been written.
    fn doubt(&mut self, now: Time, report: &CrashReport, interrupted: &[InFlightRequest]) {
        let mut reported: Vec<Fingerprint> =
            report.in_flight.iter().flat_map(|it| it.parts().iter().copied()).collect();
        reported.sort_unstable();
        reported.dedup();
        let mut written = vec![Duration::ZERO; reported.len()];
        for sent in interrupted {
            let time = sent.began.map_or(Duration::ZERO, |began| now - began);
            for part in sent.contents.parts() {
                if let Ok(found) = reported.binary_search(part) {
                    written[found] = written[found].max(time);
                }
            }
        }
        let doubts = reported.into_iter().zip(written);
        self.doubts.extend(doubts.map(|(part, written)| Doubt {
            part,
            crash: report.key.clone(),
            at: now,
            written,
        }));
        let surplus = self.doubts.len().saturating_sub(MAX_DOUBTS);
        self.doubts.drain(..surplus);
    }

    /// Clears parts of a crash if another answer to a request with them has outlasted the interrupted
    /// ones. Answers may take so long that several upstreams crash for other reasons before the first
    /// one is complete, with a part that all requests share in flight on each.
    fn clear_outlasted(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.doubts.is_empty() {
            return;
        }
        let mut written: Vec<(Fingerprint, Duration)> = Vec::new();
        for sent in &self.in_flight {
            if let Some(began) = sent.began {
                written.extend(sent.contents.parts().iter().map(|&it| (it, now - began)));
            }
        }
        written.sort_unstable();
        let is_outlasted = |doubt: &mut Doubt| {
            let end = written.partition_point(|it| it.0 <= doubt.part);
            let longest = written[..end].last().filter(|it| it.0 == doubt.part);
            longest.is_some_and(|it| it.1 > doubt.written + OUTLAST_MARGIN)
        };
        let mut outlasted: BTreeMap<Fingerprint, Clearance> = BTreeMap::new();
        for Doubt { part, crash, at, .. } in self.doubts.extract_if(.., is_outlasted) {
            if self.ledger.counts_against(part, &crash) {
                outlasted.entry(part).or_default().add(crash, now - at);
            }
        }
        self.publish(now, clearance_facts(outlasted), out);
    }

    /// Clears the contents of reported crashes that this instance knows to be sound. A content that many
    /// callers send is in flight on whichever upstream crashes.
    fn clear_sound(&mut self, now: Time, facts: &[Fact], out: &mut Vec<Effect>) {
        let mut sound: BTreeMap<Fingerprint, Clearance> = BTreeMap::new();
        for fact in facts {
            let Fact::Crashed(CrashReport { key, age, in_flight, .. }) = fact else { continue };
            for content in in_flight.iter().flat_map(RequestContents::iter) {
                if self.is_sound(now, content) && self.ledger.counts_against(content, key) {
                    sound.entry(content).or_default().add(key.clone(), *age);
                }
            }
        }
        self.publish(now, clearance_facts(sound), out);
    }

    fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.sound.retain(|_, shown| now - *shown < SOUND_LIFETIME);
        self.doubts.retain(|it| now - it.at < SOUND_LIFETIME);
        self.reservations.retain(|it| now < it.1);
    }
}
