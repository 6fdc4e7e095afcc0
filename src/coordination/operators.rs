//! The operators' HTTP interface, the same on entry instances and keepers.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /status` | the process: id, role, zone, revision, peers |
//! | `GET /upstreams` | upstreams of the zone, and summaries of other zones |
//! | `GET /requests/{id}` | the record of a request |
//! | `GET /dump` | the state of the process |
//! | `GET /metrics` | metrics as Prometheus text |
//! | `POST /release/check` | whether a note would be accepted |
//! | `POST /release/apply` | applies a note |
//! | `GET /release` | the configuration in force here |
//! | `GET /release/history` | accepted notes |
//! | `GET /release/confirmations` | revision in force at each instance |
//! | `POST /drain` | stops the process gracefully |
//! | `PUT /log-level` | changes the level of the logs |
//!
//! Every request but `GET /metrics` carries an operator's bearer key.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, body::Incoming, header};
use medlarlug_core::{
    configuration_group::{Accepted, Command, Force, Refusal, Reply, ZoneForce},
    fingerprint::Fingerprint,
    ids::{InstanceId, OperatorId, RequestId, Revision},
    membership::{Membership, PeerState, Target},
    record::Outcome,
    release::{Configuration, NoteError, RawNote, ReleaseNote},
};
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    coordination::{
        calls::{self, CallFailure},
        daemon::Context,
        lookup::{self, RecordStatus},
        node::Node,
    },
    protocol::{
        GroupId, GroupReply, GroupRequest, Problem,
        operators::{
            AcceptedNote, Confirmations, GroupStatus, LevelChange, PeerStatus, ProcessStatus,
            UpstreamStatus, ZoneConfirmation,
        },
    },
    settings::Operator,
    transport::{
        body::{self, Answer},
        http_server::{self, ServerLimits},
    },
};

/// Longest body of an operator's request, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time that a release note has to be committed.
const APPLY_LIMIT: Duration = Duration::from_secs(8);

/// Time that the question for confirmations may take.
const FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Time that a look-up may take.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(4);

type Dump = Box<dyn Fn() -> Value>;

type Process = Box<dyn Fn() -> ProcessPart>;

/// What only one kind of process knows of its status.
#[derive(Debug, Clone, Default)]
pub struct ProcessPart {
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Requests that run.
    pub running: u64,
    /// Replication groups that it belongs to.
    pub groups: Vec<GroupStatus>,
}

/// What the operators' interface needs of its process.
pub struct OperatorApi {
    node: Rc<Node>,
    operators: Vec<Operator>,
    context: Context,
    process: Process,
    dump: Dump,
}

impl OperatorApi {
    /// An interface that dumps nothing but the common part.
    pub fn new(node: Rc<Node>, operators: Vec<Operator>, context: Context) -> OperatorApi {
        let process = Box::new(ProcessPart::default);
        let dump = Box::new(|| Value::Null);
        OperatorApi { node, operators, context, process, dump }
    }

    /// The same interface, with the state that only this kind of process has.
    pub fn with_dump(self, dump: impl Fn() -> Value + 'static) -> OperatorApi {
        OperatorApi { dump: Box::new(dump), ..self }
    }

    /// The same interface, with the status that only this kind of process has.
    pub fn with_process(self, process: impl Fn() -> ProcessPart + 'static) -> OperatorApi {
        OperatorApi { process: Box::new(process), ..self }
    }

    fn operator(&self, request: &Request<Incoming>) -> Option<OperatorId> {
        let key = Fingerprint::of(bearer(request)?.as_bytes());
        let found = self.operators.iter().find(|it| it.key == key)?;
        Some(found.id.clone())
    }
}

/// Serves the operators' interface until `stop` turns true.
pub async fn serve(
    api: OperatorApi,
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
) {
    let api = Rc::new(api);
    let handler = move |request, _| {
        let api = api.clone();
        async move { answer(&api, request).await }
    };
    http_server::serve(listener, limits, stop, handler).await;
}

/// The bearer key of a request.
pub fn bearer<B>(request: &Request<B>) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

async fn answer(api: &OperatorApi, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if method == Method::GET && path == "/metrics" {
        return body::text(api.context.metrics.render());
    }
    let Some(operator) = api.operator(&request) else {
        return refuse(401, "unauthorized", "the bearer key is no operator's");
    };
    match (&method, path.as_str()) {
        (&Method::GET, "/status") => ok(&status(api)),
        (&Method::GET, "/upstreams") => ok(&upstreams(api)),
        (&Method::GET, "/dump") => ok(&dump(api)),
        (&Method::GET, "/release") => ok(&configuration(api)),
        (&Method::GET, "/release/history") => history(api).await,
        (&Method::GET, "/release/confirmations") => ok(&confirmations(api, &request).await),
        (&Method::POST, "/release/check") => check(api, request).await,
        (&Method::POST, "/release/apply") => apply(api, &operator, request).await,
        (&Method::POST, "/drain") => {
            tracing::info!(%operator, "drain requested");
            api.context.drain.send_replace(true);
            ok(&json!({}))
        }
        (&Method::PUT, "/log-level") => set_level(api, request).await,
        (&Method::GET, path) if path.starts_with("/requests/") => look_up(api, path).await,
        _ => refuse(404, "not-found", "there is no such resource"),
    }
}

/// The configuration in force here; the empty one before the first release note.
fn configuration(api: &OperatorApi) -> Configuration {
    let current = api.node.configuration();
    current.map(|it| it.configuration.clone()).unwrap_or_default()
}

fn ok(document: &impl serde::Serialize) -> Answer {
    body::json(StatusCode::OK, document)
}

fn refuse(status: u16, kind: &str, title: &str) -> Answer {
    body::refusal(&Problem::new(status, kind, title, Outcome::NotRun))
}

fn status(api: &OperatorApi) -> ProcessStatus {
    let node = &api.node;
    let now = node.now();
    let members = node.members.borrow();
    let peers = members.peers().iter().map(|peer| PeerStatus {
        instance: peer.seed.id.clone(),
        state: state_name(peer.state).into(),
        age_ms: peer.age(now).map(millis),
    });
    let own = (api.process)();
    ProcessStatus {
        instance: node.own.id.clone(),
        kind: node.own.kind.name().into(),
        zone: node.own.zone.clone(),
        region: node.region.clone(),
        incarnation: node.incarnation,
        revision: node.follower.borrow().revision(),
        leaving: own.leaving,
        running: own.running,
        peers: peers.collect(),
        groups: own.groups,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn state_name(state: PeerState) -> &'static str {
    match state {
        PeerState::Unheard => "unheard",
        PeerState::Up => "up",
        PeerState::Reconnecting { .. } => "reconnecting",
        PeerState::Dead { .. } => "dead",
    }
}

fn upstreams(api: &OperatorApi) -> Vec<UpstreamStatus> {
    let node = &api.node;
    let now = node.now();
    let members = node.members.borrow();
    let upstreams = members.all_upstreams().iter().map(|it| {
        let announcement = &it.announcement;
        UpstreamStatus {
            id: announcement.id.clone(),
            zone: announcement.zone.clone(),
            address: announcement.address,
            serves: serves(&it.targets()),
            slots: announcement.slots.0,
            running: announcement.load.running,
            waiting: announcement.load.waiting,
            leaving: announcement.leaving,
            age_ms: millis(now - it.heard),
        }
    });
    upstreams.collect()
}

fn serves(targets: &[Target]) -> SmolStr {
    let names: Vec<String> = targets.iter().map(|it| it.key().to_string()).collect();
    names.join(", ").into()
}

/// Summaries of other zones, as a dump shows them.
fn zones(api: &OperatorApi) -> Vec<Value> {
    let now = api.node.now();
    let members = api.node.members.borrow();
    let zones = members.zones().iter().map(|zone| {
        let rows = zone.rows(now).map(|it| {
            json!({
                "target": it.summary.target.key().to_string(),
                "upstreams": it.summary.upstreams,
                "free": it.summary.free,
                "age_ms": millis(now - it.made),
            })
        });
        let rows: Vec<Value> = rows.collect();
        json!({ "zone": zone.zone, "region": zone.region, "targets": rows })
    });
    zones.collect()
}

fn dump(api: &OperatorApi) -> Value {
    let node = &api.node;
    let confirmed = node.follower.borrow().confirmed_age(node.now());
    json!({
        "status": status(api),
        "confirmed_ms": confirmed.map(millis),
        "upstreams": upstreams(api),
        "zones": zones(api),
        "process": (api.dump)(),
    })
}

/// Where the revision named by the request, or else the newest one, is in force.
///
/// The leader of the configuration group knows it. While it can't be asked, the answer is what
/// this process's peers told it.
async fn confirmations(api: &OperatorApi, request: &Request<Incoming>) -> Confirmations {
    let revision = revision_of(request);
    match calls::force(&api.node, revision, FORCE_LIMIT).await {
        Ok(force) => confirmations_of(&api.node, &force),
        Err(error) => {
            tracing::debug!(%error, "confirmations taken from peers");
            heard_confirmations(api, revision)
        }
    }
}

/// The value of `revision` in the query.
fn revision_of(request: &Request<Incoming>) -> Option<Revision> {
    let mut pairs = request.uri().query()?.split('&');
    let value = pairs.find_map(|it| it.strip_prefix("revision="))?;
    value.parse().ok().map(Revision)
}

fn confirmations_of(node: &Node, force: &Force) -> Confirmations {
    let members = node.members.borrow();
    let zone = |it: &ZoneForce| {
        let instances = node.cluster.instances.iter().filter(|peer| peer.zone == it.zone);
        let told = instances.filter_map(|peer| told_revision(node, &members, &peer.id)).min();
        let revision = match it.pending.is_empty() {
            true => Some(told.unwrap_or(force.revision).max(force.revision)),
            false => told.filter(|told| *told < force.revision),
        };
        ZoneConfirmation { zone: it.zone.clone(), revision, missing: it.pending.clone() }
    };
    Confirmations {
        revision: force.revision,
        everywhere: force.is_everywhere(),
        leases_ms: Some(millis(force.leases)),
        zones: force.zones.iter().map(zone).collect(),
    }
}

/// The revision in force in each zone, as this process's peers told it.
fn heard_confirmations(api: &OperatorApi, revision: Option<Revision>) -> Confirmations {
    let node = &api.node;
    let members = node.members.borrow();
    let newest = members.highest_revision().max(node.follower.borrow().revision());
    let revision = revision.unwrap_or(newest);
    let zones = node.cluster.zones.iter().map(|zone| {
        let instances = node.cluster.instances.iter().filter(|it| it.zone == zone.id);
        let told = instances.map(|it| (it.id.clone(), told_revision(node, &members, &it.id)));
        let told: Vec<(InstanceId, Option<Revision>)> = told.collect();
        let missing = told.iter().filter(|it| it.1.is_none_or(|it| it < revision));
        ZoneConfirmation {
            zone: zone.id.clone(),
            revision: told.iter().filter_map(|it| it.1).min(),
            missing: missing.map(|it| it.0.clone()).collect(),
        }
    });
    Confirmations { revision, everywhere: false, leases_ms: None, zones: zones.collect() }
}

/// The revision of an instance; `None` while it is not heard.
fn told_revision(node: &Node, members: &Membership, id: &InstanceId) -> Option<Revision> {
    if *id == node.own.id {
        return Some(node.follower.borrow().revision());
    }
    let peer = members.peers().iter().find(|it| it.seed.id == *id)?;
    peer.is_live().then_some(peer.status.revision)
}

fn accepted_note(accepted: &Accepted) -> AcceptedNote {
    AcceptedNote {
        number: accepted.number,
        operator: accepted.operator.clone(),
        revision: accepted.revision,
    }
}

async fn history(api: &OperatorApi) -> Answer {
    let group = GroupId::Configuration;
    match calls::submit(&api.node, &group, GroupRequest::History, LOOK_UP_LIMIT).await {
        Ok(GroupReply::History(notes)) => {
            let notes: Vec<AcceptedNote> = notes.iter().map(accepted_note).collect();
            ok(&notes)
        }
        Ok(_) => refuse(500, "mismatch", "the configuration group sent another kind of reply"),
        Err(failure) => call_failed(&failure),
    }
}

async fn read_note(request: Request<Incoming>) -> Result<ReleaseNote, Answer> {
    let bytes = body::read(request.into_body(), BODY_BYTES)
        .await
        .map_err(|error| refuse(413, "body-too-long", &error.to_string()))?;
    let raw: RawNote = serde_json::from_slice(&bytes)
        .map_err(|error| refuse(400, "no-release-note", &error.to_string()))?;
    ReleaseNote::try_from(raw).map_err(|error| note_refused(&error))
}

fn note_refused(error: &NoteError) -> Answer {
    let status = match error {
        NoteError::Stale { .. } => 409,
        _ => 422,
    };
    refuse(status, "note-refused", &error.to_string())
}

async fn check(api: &OperatorApi, request: Request<Incoming>) -> Answer {
    let note = match read_note(request).await {
        Ok(note) => note,
        Err(answer) => return answer,
    };
    let current = configuration(api);
    match note.apply(&current) {
        Ok(next) => ok(&AcceptedNote {
            number: note.number(),
            operator: note.operator().clone(),
            revision: next.revision,
        }),
        Err(error) => note_refused(&error),
    }
}

async fn apply(api: &OperatorApi, operator: &OperatorId, request: Request<Incoming>) -> Answer {
    let note = match read_note(request).await {
        Ok(note) => note,
        Err(answer) => return answer,
    };
    if note.operator() != operator {
        let title = format!("the note names {}, the key is {operator}'s", note.operator());
        return refuse(403, "foreign-operator", &title);
    }
    match calls::configure(&api.node, Command::Apply(note), APPLY_LIMIT).await {
        Ok(Reply::Accepted(accepted)) => {
            tracing::info!(%operator, number = %accepted.number, revision = %accepted.revision,
                "release note accepted");
            ok(&accepted_note(&accepted))
        }
        Ok(Reply::Refused(refusal)) => release_refused(&refusal),
        Ok(reply) => {
            tracing::error!(?reply, "unexpected reply to a release note");
            refuse(500, "mismatch", "the configuration group sent another kind of reply")
        }
        Err(failure) => call_failed(&failure),
    }
}

fn release_refused(refusal: &Refusal) -> Answer {
    match refusal {
        Refusal::Note(error) => note_refused(error),
        Refusal::Conflict { .. } => refuse(409, "number-taken", &refusal.to_string()),
        Refusal::Moving { .. } => refuse(409, "team-moving", &refusal.to_string()),
    }
}

/// The answer to an operator or caller whose call to a group failed.
pub fn call_failed(failure: &CallFailure) -> Answer {
    let outcome = match failure {
        CallFailure::Uncertain { .. } => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    let problem = Problem::new(503, "group-unreachable", &failure.to_string(), outcome);
    body::refusal(&problem.after(Duration::from_secs(1)))
}

async fn set_level(api: &OperatorApi, request: Request<Incoming>) -> Answer {
    let Ok(bytes) = request.into_body().collect().await else {
        return refuse(400, "no-level", "the body was cut");
    };
    let change: LevelChange = match serde_json::from_slice(&bytes.to_bytes()) {
        Ok(change) => change,
        Err(error) => return refuse(400, "no-level", &error.to_string()),
    };
    match api.context.level.set(change.level) {
        Ok(()) => ok(&change),
        Err(error) => refuse(500, "level-not-set", &error.to_string()),
    }
}

async fn look_up(api: &OperatorApi, path: &str) -> Answer {
    let text = path.trim_start_matches("/requests/");
    let id: RequestId = match text.parse() {
        Ok(id) => id,
        Err(error) => return refuse(400, "no-request-id", &format!("{error}")),
    };
    status_answer(lookup::record_status(&api.node, &id, LOOK_UP_LIMIT).await)
}

/// The answer that tells what is known of a request.
pub fn status_answer(status: Result<RecordStatus, CallFailure>) -> Answer {
    match status {
        Ok(RecordStatus::Recorded(record)) => ok(&record),
        Ok(RecordStatus::Expired) => refuse(410, "record-expired", "the record is no longer kept"),
        Ok(RecordStatus::NotSeen) => refuse(404, "no-record", lookup::NOT_SEEN),
        Err(failure) => call_failed(&failure),
    }
}
