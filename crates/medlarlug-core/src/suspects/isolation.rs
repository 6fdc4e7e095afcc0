//! Requests in flight at one entry instance, and the upstreams that suspects have alone.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        ContentStatus, CrashId, CrashLedger, CrashReport, Effect, Event, Fact, Placement,
        RESERVATION_LIFETIME,
    },
    time::Time,
};

/// Time for which a whole run speaks for its content: upstreams that crash together, or under one
/// content that is sent again, are lost within it.
const SOUND_FOR: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Flight {
    request: RequestId,
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    incarnation: Incarnation,
    suspect: bool,
    /// Whether its content was quarantined and not cleared when it was sent.
    trial: bool,
}

/// The core of one entry instance.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     ids::Incarnation,
///     suspects::{Event, Placement, ContentStatus, SuspectTracker},
///     time::Time,
/// };
///
/// let (mut core, mut out) = (SuspectTracker::default(), Vec::new());
/// let content = Fingerprint::of(b"content");
/// let upstream: medlarlug_core::ids::UpstreamId = "engine-1".parse().unwrap();
/// let incarnation = Incarnation(1);
/// let sent = Event::Sent {
///     request: "riga.entry-1.1.7".parse().unwrap(),
///     fingerprint: content,
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
    flights: Vec<Flight>,
    /// Contents that have run to their end here, and when they last did, sorted.
    sound: Vec<(Fingerprint, Time)>,
    reserved: Vec<(UpstreamId, Time)>,
}

impl SuspectTracker {
    /// What the facts say about `fingerprint`; a quarantined one is refused at once.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> ContentStatus {
        self.ledger.status(now, fingerprint)
    }

    /// Whether a request with this content may run on `upstream`.
    pub fn placement(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) -> Placement {
        let is_suspect = match self.status(now, fingerprint) {
            ContentStatus::Quarantined { .. } => return Placement::Denied,
            standing => standing == ContentStatus::Suspect,
        };
        if is_suspect && self.flights.iter().any(|it| it.fingerprint == fingerprint) {
            return Placement::Denied;
        }
        let is_empty = !self.flights.iter().any(|it| it.upstream == *upstream);
        match (self.has_suspect(now, upstream), is_suspect && !is_empty) {
            (true, _) => Placement::Denied,
            (false, true) => Placement::LastResort,
            (false, false) => Placement::Allowed,
        }
    }

    /// Whether a suspect runs on `upstream`, or it is reserved for one.
    pub fn has_suspect(&self, now: Time, upstream: &UpstreamId) -> bool {
        let mut flights = self.flights.iter().filter(|it| it.upstream == *upstream);
        self.is_reserved(now, upstream) || flights.any(|it| self.is_suspect(now, it))
    }

    /// The facts, for the state dump and for an instance that has just started.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Whether nothing is suspected and nothing reserved, so that every placement is free.
    pub fn is_unrestricted(&self) -> bool {
        self.reserved.is_empty() && self.ledger.is_empty()
    }

    /// Incarnation of the upstream on which a request is in flight.
    pub fn incarnation_of(&self, request: &RequestId) -> Option<Incarnation> {
        let found = self.flights.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(self.flights[found].incarnation)
    }

    /// Whether a trial of a content is under way, or has ended without an answer and without a finding.
    pub fn is_on_trial(&self, fingerprint: Fingerprint) -> bool {
        self.flights.iter().any(|it| it.trial && it.fingerprint == fingerprint)
    }

    /// Takes in facts that arrived together.
    pub fn apply_all(&mut self, now: Time, facts: &[Fact], out: &mut Vec<Effect>) {
        if self.ledger.apply_all(now, facts) {
            facts.iter().for_each(|fact| self.clear_sound(now, fact, out));
        }
    }

    /// Feeds one event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sent { request, fingerprint, upstream, incarnation } => {
                let suspect = self.status(now, fingerprint) != ContentStatus::Clear;
                let trial = self.ledger.trials(fingerprint).is_some();
                let flight = Flight { request, fingerprint, upstream, incarnation, suspect, trial };
                self.send(flight, out);
            }
            Event::Completed { request } => self.answer(now, &request, out),
            Event::Inconclusive { request } => drop(self.land(&request, out)),
            Event::UpstreamCrashed { upstream, incarnation } => {
                self.lose(now, upstream, incarnation, out);
            }
            Event::FactReceived(fact) => self.apply_all(now, std::slice::from_ref(&fact), out),
            Event::Reserved { upstream, lifetime } => {
                self.reserve(upstream, now + lifetime.min(RESERVATION_LIFETIME));
            }
            Event::ReservationReleased { upstream } => self.reserved.retain(|it| it.0 != upstream),
            Event::Tick => self.expire(now),
        }
    }

    /// A flight also counts as a suspect if its content became one after it was sent.
    fn is_suspect(&self, now: Time, flight: &Flight) -> bool {
        flight.suspect || self.status(now, flight.fingerprint) != ContentStatus::Clear
    }

    fn is_reserved(&self, now: Time, upstream: &UpstreamId) -> bool {
        match self.reserved.binary_search_by(|it| it.0.cmp(upstream)) {
            Ok(found) => now < self.reserved[found].1,
            Err(_) => false,
        }
    }

    fn reserve(&mut self, upstream: UpstreamId, until: Time) {
        match self.reserved.binary_search_by(|it| it.0.cmp(&upstream)) {
            Ok(found) => self.reserved[found].1 = until,
            Err(place) => self.reserved.insert(place, (upstream, until)),
        }
    }

    fn send(&mut self, flight: Flight, out: &mut Vec<Effect>) {
        if flight.suspect {
            let upstream = flight.upstream.clone();
            out.push(Effect::Reserve { upstream, lifetime: RESERVATION_LIFETIME });
        }
        match self.flights.binary_search_by(|it| it.request.cmp(&flight.request)) {
            Ok(found) => self.flights[found] = flight,
            Err(place) => self.flights.insert(place, flight),
        }
    }

    fn land(&mut self, request: &RequestId, out: &mut Vec<Effect>) -> Option<Flight> {
        let found = self.flights.binary_search_by(|it| it.request.cmp(request)).ok()?;
        let flight = self.flights.remove(found);
        if flight.suspect {
            out.push(Effect::ReleaseReservation { upstream: flight.upstream.clone() });
        }
        Some(flight)
    }

    fn answer(&mut self, now: Time, request: &RequestId, out: &mut Vec<Effect>) {
        let Some(flight) = self.land(request, out) else {
            return;
        };
        match self.sound.binary_search_by_key(&flight.fingerprint, |it| it.0) {
            Ok(found) => self.sound[found].1 = now,
            Err(place) => self.sound.insert(place, (flight.fingerprint, now)),
        }
        // A content that crashes upstreams crashes each one, so a whole run clears it of all crashes,
        // those included that happened meanwhile elsewhere.
        let crashes = self.ledger.crashes_of(flight.fingerprint);
        let age = self.ledger.newest_crash_age(now, &crashes);
        let Some(age) = age else {
            return;
        };
        let fact = Fact::Cleared { fingerprint: flight.fingerprint, crashes, age };
        self.ledger.apply(now, &fact);
        out.push(Effect::Publish(fact));
    }

    fn lose(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        incarnation: Incarnation,
        out: &mut Vec<Effect>,
    ) {
        let is_lost = |it: &Flight| it.upstream == upstream && it.incarnation == incarnation;
        let lost: Vec<Flight> = self.flights.iter().filter(|it| is_lost(it)).cloned().collect();
        if lost.is_empty() {
            return;
        }
        let mut in_flight: Vec<Fingerprint> = lost.iter().map(|it| it.fingerprint).collect();
        in_flight.sort_unstable();
        in_flight.dedup();
        let trials = lost.iter().filter(|it| it.trial);
        let mut trials: Vec<Fingerprint> = trials.map(|it| it.fingerprint).collect();
        trials.sort_unstable();
        trials.dedup();
        let key = CrashId { upstream, incarnation };
        let report = CrashReport { key, age: Duration::ZERO, in_flight, trials };
        let fact = Fact::Crashed(report);
        self.ledger.apply(now, &fact);
        out.push(Effect::Publish(fact.clone()));
        self.clear_sound(now, &fact, out);
        for flight in lost {
            self.land(&flight.request, out);
            out.push(Effect::Interrupted { request: flight.request });
        }
    }

    /// Clears the contents of a loss that have run to their end here lately: many callers may send
    /// the same content, which is then in flight at whatever upstream is lost.
    fn clear_sound(&mut self, now: Time, fact: &Fact, out: &mut Vec<Effect>) {
        let Fact::Crashed(report) = fact else { return };
        for &fingerprint in &report.in_flight {
            let found = self.sound.binary_search_by_key(&fingerprint, |it| it.0);
            let is_sound = found.is_ok_and(|found| now - self.sound[found].1 < SOUND_FOR);
            let crashes = vec![report.key.clone()];
            let fact = Fact::Cleared { fingerprint, crashes, age: report.age };
            if is_sound && self.ledger.apply(now, &fact) {
                out.push(Effect::Publish(fact));
            }
        }
    }

    fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.sound.retain(|it| now - it.1 < SOUND_FOR);
        self.reserved.retain(|it| now < it.1);
    }
}
