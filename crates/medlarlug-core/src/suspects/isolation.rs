//! Requests in flight at one entry instance, and the upstreams that suspects have alone.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        Effect, Event, Fact, LossKey, LossLedger, LossReport, Placement, RESERVATION_LIFETIME,
        Standing,
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
///     suspects::{Event, Placement, Standing, Suspects},
///     time::Time,
/// };
///
/// let (mut core, mut out) = (Suspects::default(), Vec::new());
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
/// core.handle(Time::ZERO, Event::UpstreamLost { upstream, incarnation }, &mut out);
/// assert_eq!(core.standing(Time::ZERO, content), Standing::Suspect);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    ledger: LossLedger,
    flights: Vec<Flight>,
    /// Contents that have run to their end here, and when they last did, sorted.
    sound: Vec<(Fingerprint, Time)>,
    reserved: Vec<(UpstreamId, Time)>,
}

impl Suspects {
    /// What the facts say about `fingerprint`; a quarantined one is refused at once.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        self.ledger.standing(now, fingerprint)
    }

    /// Whether a request with this content may run on `upstream`.
    pub fn placement(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) -> Placement {
        let is_suspect = match self.standing(now, fingerprint) {
            Standing::Quarantined { .. } => return Placement::Barred,
            standing => standing == Standing::Suspect,
        };
        if is_suspect && self.flights.iter().any(|it| it.fingerprint == fingerprint) {
            return Placement::Barred;
        }
        let is_empty = !self.flights.iter().any(|it| it.upstream == *upstream);
        match (self.has_suspect(now, upstream), is_suspect && !is_empty) {
            (true, _) => Placement::Barred,
            (false, true) => Placement::Shared,
            (false, false) => Placement::Free,
        }
    }

    /// Whether a suspect runs on `upstream`, or it is reserved for one.
    pub fn has_suspect(&self, now: Time, upstream: &UpstreamId) -> bool {
        let mut flights = self.flights.iter().filter(|it| it.upstream == *upstream);
        self.is_reserved(now, upstream) || flights.any(|it| self.is_suspect(now, it))
    }

    /// The facts, for the state dump and for an instance that has just started.
    pub fn ledger(&self) -> &LossLedger {
        &self.ledger
    }

    /// Whether nothing is suspected and nothing reserved, so that every placement is free.
    pub fn is_quiet(&self) -> bool {
        self.reserved.is_empty() && self.ledger.is_empty()
    }

    /// Incarnation of the upstream on which a request is in flight.
    pub fn incarnation_of(&self, request: &RequestId) -> Option<Incarnation> {
        let found = self.flights.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(self.flights[found].incarnation)
    }

    /// Whether a trial of a content is under way, or has ended without an answer and without a finding.
    pub fn is_tried(&self, fingerprint: Fingerprint) -> bool {
        self.flights.iter().any(|it| it.trial && it.fingerprint == fingerprint)
    }

    /// Takes in facts that arrived together.
    pub fn learn_all(&mut self, now: Time, facts: &[Fact], out: &mut Vec<Effect>) {
        if self.ledger.learn_all(now, facts) {
            facts.iter().for_each(|fact| self.clear_sound(now, fact, out));
        }
    }

    /// Feeds one event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sent { request, fingerprint, upstream, incarnation } => {
                let suspect = self.standing(now, fingerprint) != Standing::Clear;
                let trial = self.ledger.trials(fingerprint).is_some();
                let flight = Flight { request, fingerprint, upstream, incarnation, suspect, trial };
                self.send(flight, out);
            }
            Event::Answered { request } => self.answer(now, &request, out),
            Event::Ended { request } => drop(self.land(&request, out)),
            Event::UpstreamLost { upstream, incarnation } => {
                self.lose(now, upstream, incarnation, out);
            }
            Event::Learned(fact) => self.learn_all(now, std::slice::from_ref(&fact), out),
            Event::Reserved { upstream, lifetime } => {
                self.reserve(upstream, now + lifetime.min(RESERVATION_LIFETIME));
            }
            Event::Freed { upstream } => self.reserved.retain(|it| it.0 != upstream),
            Event::Tick => self.expire(now),
        }
    }

    /// A flight also counts as a suspect if its content became one after it was sent.
    fn is_suspect(&self, now: Time, flight: &Flight) -> bool {
        flight.suspect || self.standing(now, flight.fingerprint) != Standing::Clear
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
            out.push(Effect::Free { upstream: flight.upstream.clone() });
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
        // A content that crashes upstreams crashes each one, so a whole run clears it of all losses,
        // those included that happened meanwhile elsewhere.
        let losses = self.ledger.losses_of(flight.fingerprint);
        let age = self.ledger.age_of(now, &losses);
        let Some(age) = age else {
            return;
        };
        let fact = Fact::Cleared { fingerprint: flight.fingerprint, losses, age };
        self.ledger.learn(now, &fact);
        out.push(Effect::Share(fact));
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
        let mut flying: Vec<Fingerprint> = lost.iter().map(|it| it.fingerprint).collect();
        flying.sort_unstable();
        flying.dedup();
        let trials = lost.iter().filter(|it| it.trial);
        let mut tried: Vec<Fingerprint> = trials.map(|it| it.fingerprint).collect();
        tried.sort_unstable();
        tried.dedup();
        let key = LossKey { upstream, incarnation };
        let report = LossReport { key, age: Duration::ZERO, flying, tried };
        let fact = Fact::Lost(report);
        self.ledger.learn(now, &fact);
        out.push(Effect::Share(fact.clone()));
        self.clear_sound(now, &fact, out);
        for flight in lost {
            self.land(&flight.request, out);
            out.push(Effect::Lost { request: flight.request });
        }
    }

    /// Clears the contents of a loss that have run to their end here lately: many callers may send
    /// the same content, which is then in flight at whatever upstream is lost.
    fn clear_sound(&mut self, now: Time, fact: &Fact, out: &mut Vec<Effect>) {
        let Fact::Lost(report) = fact else { return };
        for &fingerprint in &report.flying {
            let found = self.sound.binary_search_by_key(&fingerprint, |it| it.0);
            let is_sound = found.is_ok_and(|found| now - self.sound[found].1 < SOUND_FOR);
            let losses = vec![report.key.clone()];
            let fact = Fact::Cleared { fingerprint, losses, age: report.age };
            if is_sound && self.ledger.learn(now, &fact) {
                out.push(Effect::Share(fact));
            }
        }
    }

    fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.sound.retain(|it| now - it.1 < SOUND_FOR);
        self.reserved.retain(|it| now < it.1);
    }
}
