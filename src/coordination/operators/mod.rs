//! The HTTP interface for operators, which entry instances and keepers share.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /status` | id, kind, zone, revision and peers of the process |
//! | `GET /upstreams` | the upstreams of the zone |
//! | `GET /requests/{id}` | the record of a request |
//! | `GET /dump` | the state of the process, including summaries of other zones |
//! | `GET /metrics` | metrics in the Prometheus text format |
//! | `POST /release/check` | checks a release note without applying it |
//! | `POST /release/apply` | applies a release note |
//! | `GET /release` | the configuration in effect at this process |
//! | `GET /release/history` | the accepted release notes |
//! | `GET /release/confirmations` | the rollout of a revision, by zone |
//! | `POST /drain` | stops the process gracefully |
//! | `PUT /log-level` | changes the log level |
//!
//! Every request except `GET /metrics` must carry the bearer key of an operator.

mod confirmations;
mod releases;
mod status;

pub use releases::MAX_NOTE_BYTES;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming, header};
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{OperatorId, RequestId},
    record::Outcome,
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    coordination::{
        calls::CallError,
        daemon::Context,
        lookup::{self, RecordStatus},
        node::Node,
    },
    protocol::{
        Problem,
        operators::{GroupStatus, LevelChange},
    },
    settings::Operator,
    transport::{
        body::{self, Answer, BodyError},
        http_server::{self, ServerLimits},
        memory::{ClientMemory, Memory},
    },
};

/// Maximum size of the body of `PUT /log-level`.
const MAX_LEVEL_BYTES: usize = 1024;

/// Time-out of a read from a replication group.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(4);

type Dump = Box<dyn Fn() -> Value>;

type Details = Box<dyn Fn() -> ProcessDetails>;

/// The part of a process's status that depends on the kind of the process.
#[derive(Debug, Clone, Default)]
pub struct ProcessDetails {
    /// Whether the process is draining.
    pub leaving: bool,
    /// Number of in-flight requests; 0 at a keeper.
    pub running: u64,
    /// Replication groups that the process is a member of; none at an entry instance.
    pub groups: Vec<GroupStatus>,
}

/// The state that the handlers of the operators' interface use.
pub struct OperatorApi {
    node: Rc<Node>,
    operators: Vec<Operator>,
    context: Context,
    details: Details,
    dump: Dump,
}

impl OperatorApi {
    /// Creates an interface whose status and dump have only the part that all processes share.
    pub fn new(node: Rc<Node>, operators: Vec<Operator>, context: Context) -> OperatorApi {
        let details = Box::new(ProcessDetails::default);
        let dump = Box::new(|| Value::Null);
        OperatorApi { node, operators, context, details, dump }
    }

    /// Adds a dump of the state that only this kind of process has.
    pub fn with_dump(self, dump: impl Fn() -> Value + 'static) -> OperatorApi {
        OperatorApi { dump: Box::new(dump), ..self }
    }

    /// Adds the status details that only this kind of process has.
    pub fn with_details(self, details: impl Fn() -> ProcessDetails + 'static) -> OperatorApi {
        OperatorApi { details: Box::new(details), ..self }
    }

    /// The operator whose bearer key the request carries.
    fn operator(&self, request: &Request<Incoming>) -> Option<OperatorId> {
        let key = Fingerprint::of(bearer_key(request)?.as_bytes());
        let found = self.operators.iter().find(|it| it.key == key)?;
        Some(found.id.clone())
    }
}

/// Serves the operators' interface until `stop` turns true.
pub async fn serve(
    api: OperatorApi,
    listener: TcpListener,
    limits: ServerLimits,
    memory: Memory,
    stop: watch::Receiver<bool>,
) {
    let api = Rc::new(api);
    let handler = move |request, _| {
        let api = api.clone();
        async move { answer(&api, request).await }
    };
    http_server::serve_within(listener, limits, memory, stop, handler).await;
}

/// The bearer key in the `Authorization` header; `None` without one or with another scheme.
pub fn bearer_key<B>(request: &Request<B>) -> Option<&str> {
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
        (&Method::GET, "/status") => ok(&status::status(api)),
        (&Method::GET, "/upstreams") => ok(&status::upstreams(api)),
        (&Method::GET, "/dump") => ok(&status::dump(api)),
        (&Method::GET, "/release") => ok(&releases::configuration(api)),
        (&Method::GET, "/release/history") => releases::history(api).await,
        (&Method::GET, "/release/confirmations") => {
            ok(&confirmations::confirmations(api, &request).await)
        }
        (&Method::POST, "/release/check") => releases::check(api, request).await,
        (&Method::POST, "/release/apply") => releases::apply(api, &operator, request).await,
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

fn ok(document: &impl serde::Serialize) -> Answer {
    body::json(StatusCode::OK, document)
}

fn refuse(status: u16, kind: &str, title: &str) -> Answer {
    body::problem_answer(&Problem::new(status, kind, title, Outcome::NotRun))
}

/// Reads a body of at most `limit` bytes; the error is the answer to the operator.
async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Answer> {
    let memory = ClientMemory::of(&request);
    memory.read_body(request.into_body(), limit).await.map_err(|error| refuse_body(&error))
}

/// The answer to a request whose body was not read to its end.
pub fn refuse_body(error: &BodyError) -> Answer {
    let title = error.to_string();
    let mut answer = match error {
        BodyError::TooLong { .. } => refuse(413, "body-too-long", &title),
        BodyError::Truncated => refuse(400, "body-cut", &title),
        BodyError::Stalled => refuse(408, "sender-too-slow", &title),
        BodyError::NoRoom => {
            let problem = Problem::new(503, "overloaded", &title, Outcome::NotRun);
            body::problem_answer(&problem.with_retry_after(Duration::from_secs(1)))
        }
    };
    body::close_connection(&mut answer);
    answer
}

/// The answer to an operator or caller whose call to a group failed: 503, with outcome `unknown` if
/// the command may have been applied.
pub fn call_error_answer(error: &CallError) -> Answer {
    let outcome = match error {
        CallError::Uncertain { .. } => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    let problem = Problem::new(503, "group-unreachable", &error.to_string(), outcome);
    body::problem_answer(&problem.with_retry_after(Duration::from_secs(1)))
}

async fn set_level(api: &OperatorApi, request: Request<Incoming>) -> Answer {
    let bytes = match read_body(request, MAX_LEVEL_BYTES).await {
        Ok(bytes) => bytes,
        Err(answer) => return answer,
    };
    let change: LevelChange = match serde_json::from_slice(&bytes) {
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
    record_status_answer(lookup::record_status(&api.node, &id, LOOK_UP_TIMEOUT).await)
}

/// The answer with the record of a request: 410 once it has expired, 404 if there is none.
pub fn record_status_answer(status: Result<RecordStatus, CallError>) -> Answer {
    match status {
        Ok(RecordStatus::Recorded(record)) => ok(&record),
        Ok(RecordStatus::Expired) => refuse(410, "record-expired", "the record is no longer kept"),
        Ok(RecordStatus::NotFound) => refuse(404, "no-record", lookup::NOT_FOUND_TITLE),
        Err(error) => call_error_answer(&error),
    }
}
