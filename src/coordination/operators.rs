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
    configuration_group::{Command, Refusal, Reply},
    fingerprint::Fingerprint,
    ids::{OperatorId, RequestId},
    membership::PeerState,
    record::Outcome,
    release::{Configuration, NoteError, RawNote, ReleaseNote},
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    coordination::{
        calls::{self, CallFailure},
        lookup::{self, Fate},
        node::Node,
    },
    protocol::{GroupId, GroupReply, GroupRequest, Problem},
    settings::Operator,
    telemetry::{
        logs::{LevelHandle, LogLevel},
        metrics::Metrics,
    },
    transport::{
        body::{self, Answer},
        http_server::{self, ServerLimits},
    },
};

/// Longest body of an operator's request, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time that a release note has to be committed.
const APPLY_LIMIT: Duration = Duration::from_secs(8);

/// Time that a look-up may take.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(4);

type Dump = Box<dyn Fn() -> Value>;

/// What the operators' interface needs of its process.
pub struct OperatorApi {
    node: Rc<Node>,
    operators: Vec<Operator>,
    level: LevelHandle,
    metrics: Metrics,
    dump: Dump,
    drain: watch::Sender<bool>,
}

impl OperatorApi {
    /// An interface that dumps nothing but the common part.
    pub fn new(
        node: Rc<Node>,
        operators: Vec<Operator>,
        level: LevelHandle,
        metrics: Metrics,
        drain: watch::Sender<bool>,
    ) -> OperatorApi {
        OperatorApi { node, operators, level, metrics, dump: Box::new(|| Value::Null), drain }
    }

    /// The same interface, with the state that only this kind of process has.
    pub fn with_dump(self, dump: impl Fn() -> Value + 'static) -> OperatorApi {
        OperatorApi { dump: Box::new(dump), ..self }
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
        return body::text(api.metrics.render());
    }
    let Some(operator) = api.operator(&request) else {
        return refuse(401, "unauthorized", "the bearer key is no operator's");
    };
    match (&method, path.as_str()) {
        (&Method::GET, "/status") => ok(&status(api)),
        (&Method::GET, "/upstreams") => ok(&upstreams(api)),
        (&Method::GET, "/dump") => ok(&dump(api)),
        (&Method::GET, "/release") => ok(&api.node.configuration().unwrap_or_default()),
        (&Method::GET, "/release/history") => history(api).await,
        (&Method::GET, "/release/confirmations") => ok(&confirmations(api)),
        (&Method::POST, "/release/check") => check(api, request).await,
        (&Method::POST, "/release/apply") => apply(api, &operator, request).await,
        (&Method::POST, "/drain") => {
            tracing::info!(%operator, "drain requested");
            api.drain.send_replace(true);
            ok(&json!({ "draining": true }))
        }
        (&Method::PUT, "/log-level") => set_level(api, request).await,
        (&Method::GET, path) if path.starts_with("/requests/") => look_up(api, path).await,
        _ => refuse(404, "not-found", "there is no such resource"),
    }
}

fn ok(document: &impl serde::Serialize) -> Answer {
    body::json(StatusCode::OK, document)
}

fn refuse(status: u16, kind: &str, title: &str) -> Answer {
    body::refusal(&Problem::new(status, kind, title, Outcome::NotRun))
}

fn status(api: &OperatorApi) -> Value {
    let node = &api.node;
    let members = node.members.borrow();
    let peers = members.peers().iter().map(|peer| {
        json!({
            "id": peer.seed.id,
            "zone": peer.seed.zone,
            "state": state_name(peer.state),
            "leaving": peer.status.leaving,
            "load": peer.status.load,
            "revision": peer.status.revision,
        })
    });
    let peers: Vec<Value> = peers.collect();
    let follower = node.follower.borrow();
    let confirmed = follower.confirmed_age(node.now());
    json!({
        "id": node.own.id,
        "kind": format!("{:?}", node.own.kind).to_lowercase(),
        "zone": node.own.zone,
        "region": node.region,
        "incarnation": node.incarnation,
        "revision": follower.revision(),
        "confirmed_ms": confirmed.map(|it| it.as_millis() as u64),
        "peers": peers,
    })
}

fn state_name(state: PeerState) -> &'static str {
    match state {
        PeerState::Unheard => "unheard",
        PeerState::Up => "up",
        PeerState::Reconnecting { .. } => "reconnecting",
        PeerState::Dead { .. } => "dead",
    }
}

fn upstreams(api: &OperatorApi) -> Value {
    let node = &api.node;
    let now = node.now();
    let members = node.members.borrow();
    let upstreams = members.all_upstreams().iter().map(|it| {
        json!({
            "id": it.announcement.id,
            "zone": it.announcement.zone,
            "address": it.announcement.address,
            "kind": it.announcement.kind,
            "slots": it.announcement.slots,
            "running": it.announcement.load.running,
            "waiting": it.announcement.load.waiting,
            "leaving": it.announcement.leaving,
            "fencing": it.announcement.fencing,
            "usable": it.is_usable(now),
            "heard_ms": (now - it.heard).as_millis() as u64,
        })
    });
    let upstreams: Vec<Value> = upstreams.collect();
    let zones = members.zones().iter().map(|zone| {
        let rows = zone.rows(now).map(|it| {
            json!({
                "target": it.summary.target.key().to_string(),
                "upstreams": it.summary.upstreams,
                "free": it.summary.free,
                "age_ms": (now - it.made).as_millis() as u64,
            })
        });
        let rows: Vec<Value> = rows.collect();
        json!({ "zone": zone.zone, "region": zone.region, "targets": rows })
    });
    let zones: Vec<Value> = zones.collect();
    json!({ "upstreams": upstreams, "zones": zones })
}

fn dump(api: &OperatorApi) -> Value {
    json!({
        "status": status(api),
        "upstreams": upstreams(api),
        "process": (api.dump)(),
    })
}

fn confirmations(api: &OperatorApi) -> Value {
    let node = &api.node;
    let own = json!({
        "instance": node.own.id,
        "zone": node.own.zone,
        "revision": node.follower.borrow().revision(),
        "live": true,
    });
    let members = node.members.borrow();
    let peers = members.peers().iter().map(|peer| {
        json!({
            "instance": peer.seed.id,
            "zone": peer.seed.zone,
            "revision": peer.status.revision,
            "live": peer.is_live(),
        })
    });
    json!({ "instances": std::iter::once(own).chain(peers).collect::<Vec<Value>>() })
}

async fn history(api: &OperatorApi) -> Answer {
    let group = GroupId::Configuration;
    match calls::submit(&api.node, &group, GroupRequest::History, LOOK_UP_LIMIT).await {
        Ok(GroupReply::History(notes)) => ok(&json!({ "notes": notes })),
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
    let current: Configuration = api.node.configuration().unwrap_or_default();
    match note.apply(&current) {
        Ok(next) => ok(&json!({ "revision": next.revision, "items": next.items().len() })),
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
            ok(&accepted)
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
    let bytes = bytes.to_bytes();
    let text = String::from_utf8_lossy(&bytes);
    let level: LogLevel = match text.trim().trim_matches('"').parse() {
        Ok(level) => level,
        Err(error) => return refuse(400, "no-level", &format!("{error}")),
    };
    match api.level.set(level) {
        Ok(()) => ok(&json!({ "level": level.to_string() })),
        Err(error) => refuse(500, "level-not-set", &error.to_string()),
    }
}

async fn look_up(api: &OperatorApi, path: &str) -> Answer {
    let text = path.trim_start_matches("/requests/");
    let id: RequestId = match text.parse() {
        Ok(id) => id,
        Err(error) => return refuse(400, "no-request-id", &format!("{error}")),
    };
    fate_answer(lookup::fate(&api.node, &id, LOOK_UP_LIMIT).await)
}

/// The answer that tells what is known of a request.
pub fn fate_answer(fate: Result<Fate, CallFailure>) -> Answer {
    match fate {
        Ok(Fate::Recorded(record)) => ok(&record),
        Ok(Fate::Expired) => refuse(410, "record-expired", "the record is no longer kept"),
        Ok(Fate::NotSeen) => refuse(404, "no-record", lookup::NOT_SEEN),
        Err(failure) => call_failed(&failure),
    }
}
