//! Demand reports between the entry instances of one region.

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

const BEATS: u64 = 60;
const WARM_UP: u64 = 20;
/// Time between two reports, as entry instances send them.
const BEAT: Duration = Duration::from_secs(1);

pub struct Sample {
    /// Mean frame of a report.
    pub report: f64,
    /// Bytes a second that one instance sends to all others, as they were sent.
    pub sent: f64,
    /// Share of a core at one instance.
    pub processor: f64,
}

/// A region of `instances`, in which `rate` requests a second arrive in total.
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
    for beat in 1..=BEATS {
        if beat == WARM_UP + 1 {
            processor = wire::processor_seconds();
        }
        let now = Time::ZERO + BEAT * beat as u32;
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
            if beat > WARM_UP {
                bytes += wire::frame_bytes(Message::Demand { report: report.clone() }) as f64;
                reports += 1.0;
            }
            for limits in &mut region {
                let heard = Event::ReportReceived { report: report.clone(), age: Duration::ZERO };
                limits.handle(now, heard, &mut Vec::new());
            }
        }
    }
    let seconds = (BEATS - WARM_UP) as f64;
    let report: f64 = bytes / reports;
    Sample {
        report,
        sent: bytes / instances as f64 / seconds * (instances - 1) as f64,
        processor: (wire::processor_seconds() - processor) / seconds / instances as f64,
    }
}
