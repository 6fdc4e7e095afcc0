//! Measures demand reports between the entry instances of one region.

use std::time::Duration;

use medlarlug::protocol::Message;
use medlarlug_core::{
    ids::Incarnation,
    limits::{Effect, Event, LimitPolicy, RateLimiter, TeamLimit},
    release::item::Team,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::{id, scale::Scale};

use crate::wire;

/// Number of report rounds, of which the first [`WARM_UP_ROUNDS`] are not measured.
const ROUNDS: u64 = 60;
const WARM_UP_ROUNDS: u64 = 20;
/// Interval at which entry instances send their reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

pub struct Sample {
    /// Mean size of the frame of a report in bytes.
    pub report: f64,
    /// Bytes per second that one instance sends to all others, from the sizes of its actual reports.
    pub sent: f64,
    /// Share of a core that one instance uses.
    pub processor: f64,
}

/// Simulates a region of `instances` entry instances that receive `rate` requests per second in total.
pub fn measure(scale: &Scale, instances: usize, rate: f64) -> Sample {
    let teams: Vec<Team> = (0..scale.teams).map(|it| scale.team(it)).collect();
    let instance = |number: usize| {
        let policy = LimitPolicy::default();
        let mut limits =
            RateLimiter::new(id(&format!("entry-{number:03}")), Incarnation(1), policy);
        let configured = Event::Configured(teams.iter().map(TeamLimit::from).collect());
        limits.handle(Time::ZERO, configured, &mut Vec::new());
        limits
    };
    let mut region: Vec<RateLimiter> = (0..instances).map(instance).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut bytes, mut reports) = (0.0, 0.0);
    let mut processor = 0.0;
    for round in 1..=ROUNDS {
        if round == WARM_UP_ROUNDS + 1 {
            processor = wire::processor_seconds();
        }
        let now = Time::ZERO + REPORT_INTERVAL * round as u32;
        let mut out = Vec::new();
        for _ in 0..rate as u32 {
            // A few teams send most of the requests.
            let rank = (teams.len() as f64).powf(random.random_range(0.0..1.0)) as usize;
            let at = random.random_range(0..instances);
            let _ = region[at].admit(now, &teams[rank.min(teams.len() - 1)].id);
        }
        region.iter_mut().for_each(|it| it.handle(now, Event::Heartbeat, &mut out));
        for effect in out {
            let Effect::Broadcast(report) = effect else { continue };
            if round > WARM_UP_ROUNDS {
                bytes += wire::frame_bytes(Message::Demand { report: report.clone() }) as f64;
                reports += 1.0;
            }
            for limits in &mut region {
                let received =
                    Event::ReportReceived { report: report.clone(), age: Duration::ZERO };
                limits.handle(now, received, &mut Vec::new());
            }
        }
    }
    let seconds = (ROUNDS - WARM_UP_ROUNDS) as f64;
    let report: f64 = bytes / reports;
    Sample {
        report,
        sent: bytes / instances as f64 / seconds * (instances - 1) as f64,
        processor: (wire::processor_seconds() - processor) / seconds / instances as f64,
    }
}
