//! `medlarlug explain`: tells where a call would go now, and why.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use smol_str::SmolStr;

use crate::{
    commands::{client::OperatorClient, context::Context, error::CommandError, table::table},
    protocol::explain::{Decision, Explanation, RegionView, UpstreamView, WaitReason},
};

/// Timeout for the answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `explain`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Explain {
    /// Host of the call
    #[bpaf(argument("HOST"), guard(is_plain, "expected a host name"))]
    host: SmolStr,
    /// Path of the call, as a caller sends it, without a query
    #[bpaf(
        argument("PATH"),
        guard(is_path, "expected a path that begins with / and has no query")
    )]
    path: SmolStr,
    /// Team of the caller, where the configuration has teams
    #[bpaf(argument("TEAM"), guard(is_plain, "expected the name of a team"), optional)]
    team: Option<SmolStr>,
    /// Print JSON instead of text
    json: bool,
    /// Metrics address (IP:PORT) of an entry instance of the platform
    #[bpaf(positional("ADDRESS"))]
    address: SocketAddr,
}

/// Whether a text can stand in a query as it is.
fn is_plain(text: &SmolStr) -> bool {
    let is_plain = |c: char| c.is_ascii_graphic() && !"&#?\"<>\\^`{|}".contains(c);
    !text.is_empty() && text.chars().all(is_plain)
}

fn is_path(text: &SmolStr) -> bool {
    text.starts_with('/') && is_plain(text)
}

impl Explain {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(vec![self.address], None, TIMEOUT)?;
        let context = Context { client, json: self.json };
        let mut path = format!("/explain?host={}&path={}", self.host, self.path);
        if let Some(team) = &self.team {
            path.push_str("&team=");
            path.push_str(team);
        }
        let explanation: Explanation = context.client.get(&path).await?;
        context.print(&explanation, show);
        Ok(())
    }
}

fn show(it: &Explanation) -> String {
    let mut text = format!("route {}, service {}, table {}", it.route, it.service, it.table);
    if it.newest_table > it.table {
        text.push_str(&format!(" (behind {})", it.newest_table));
    }
    if it.is_isolated {
        text.push_str(", reaches no upstream");
    }
    if !it.may_serve {
        text.push_str(", not to be served in this region");
    }
    text.push_str(&format!("\n{}\n", decision(&it.decision)));
    let header = ["UPSTREAM", "ZONE", "USABLE", "WAIT", "COST", "RUN", "AGE", "STATE"];
    let upstreams: Vec<[String; 8]> = it.upstreams.iter().map(upstream).collect();
    text.push_str(&table(header, &upstreams));
    if !it.regions.is_empty() {
        let regions: Vec<[String; 4]> = it.regions.iter().map(region).collect();
        text.push_str(&table(["REGION", "INSTANCES", "MAY SERVE", "WAIT"], &regions));
    }
    text
}

fn decision(it: &Decision) -> String {
    match it {
        Decision::Upstream { id, wait_ms } => format!("goes to upstream {id}, in {wait_ms} ms"),
        Decision::Instance { id, region, wait_ms } => {
            format!("goes to instance {id} in {region}, in {wait_ms} ms")
        }
        Decision::Wait { reason: WaitReason::Permit } => "waits for a permit".into(),
        Decision::Wait { reason: WaitReason::RampRoom } => {
            "waits for room at an upstream that ramps up".into()
        }
        Decision::Wait { reason: WaitReason::Admission } => "waits for prefill admission".into(),
        Decision::Refuse { retry_after_s, wait_ms: None } => {
            format!("refused, no hop; Retry-After about {retry_after_s:.1} s")
        }
        Decision::Refuse { retry_after_s, wait_ms: Some(wait_ms) } => {
            format!("refused, {wait_ms} ms are too long; Retry-After about {retry_after_s:.1} s")
        }
    }
}

fn upstream(it: &UpstreamView) -> [String; 8] {
    let flags = [
        (!it.is_ready, "draining"),
        (it.is_leaving, "leaving"),
        (it.is_cold, "cold"),
        (it.is_evacuated, "evacuated"),
        (it.is_avoided, "avoided"),
    ];
    let mut state: Vec<String> = flags.iter().filter(|it| it.0).map(|it| it.1.to_owned()).collect();
    state.extend(it.backoff_ms.map(|left| format!("backoff {left} ms")));
    state.extend(it.ramp_calls.map(|calls| format!("ramp {calls}")));
    let permit = if it.has_permit { "" } else { ", no permit" };
    state.extend(it.limit.map(|limit| format!("limit {limit}/s{permit}")));
    [
        it.id.to_string(),
        it.zone.to_string(),
        yes_or_no(it.is_usable),
        format!("{} ms", it.wait_ms),
        format!("{} ms", it.cost_ms),
        it.running.to_string(),
        format!("{} ms", it.age_ms),
        state.join(", "),
    ]
}

fn region(it: &RegionView) -> [String; 4] {
    let wait = it.wait_ms.map_or("-".into(), |wait| format!("{wait} ms"));
    [it.region.to_string(), it.instances.to_string(), yes_or_no(it.may_serve), wait]
}

fn yes_or_no(it: bool) -> String {
    if it { "yes".into() } else { "no".into() }
}
