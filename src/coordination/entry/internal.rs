//! The internal HTTP interface of an entry instance.
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /v1/announce` | accepts an upstream's announcement |
//! | `POST /v1/forward` | serves a request that another zone forwards |
//!
//! Bodies are authenticated by the deployment key.

use std::rc::Rc;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::{
    announcement::Announcement, record::Outcome, refusal::Reason, routing::ForwardedRequest,
};
use tokio::{net::TcpListener, sync::watch, task};

use crate::{
    coordination::entry::{
        Entry,
        exchange::Call,
        forward::{self, ForwardedCall},
        inference::{self, Job, JobOrigin},
    },
    coordination::operators::refuse_body,
    protocol::{Problem, headers},
    transport::{
        body::{self, Answer, BodyError},
        http_client::Reuse,
        http_server::{self, ServerLimits},
        memory::ClientMemory,
    },
};

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;

/// Maximum size of a forwarded request without its body.
pub const FORWARD_OVERHEAD_BYTES: usize = 64 * 1024;

/// Maximum number of open connections from upstreams and other instances.
const MAX_CONNECTIONS: usize = 4096;

/// Share of the descriptors and of the memory for connections that it may use.
const INTERNAL_SHARE: f64 = 0.125;

/// Serves the internal interface until `stop` turns true.
///
/// The limits on callers' connections and requests do not apply here: a burst of callers' requests
/// that other zones forward must not block announcements.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let callers = entry.server_limits();
    let memory = entry.memory.clone();
    let connections = memory.connections(MAX_CONNECTIONS, INTERNAL_SHARE);
    let limits = ServerLimits { connections, requests: u32::MAX, ..callers };
    let handler = move |request, _| {
        let entry = entry.clone();
        async move { handle_request(entry, request).await }
    };
    http_server::serve_within(listener, limits, memory, stop, handler).await;
}

async fn handle_request(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/announce") => announce(&entry, request).await,
        (&Method::POST, forward::PATH) => serve_forwarded(entry, request).await,
        _ => refuse(404, "not-found", "there is no such resource"),
    }
}

fn refuse(status: u16, kind: &str, title: &str) -> Answer {
    body::problem_answer(&Problem::new(status, kind, title, Outcome::NotRun))
}

/// Reads a body and checks its authentication code.
async fn read_authenticated(
    entry: &Entry,
    request: Request<Incoming>,
    limit: usize,
) -> Result<Bytes, Answer> {
    let mac = request.headers().get(headers::MAC).and_then(|it| it.to_str().ok());
    let mac = mac.unwrap_or_default().to_owned();
    let memory = ClientMemory::of(&request);
    let content =
        memory.read_body(request.into_body(), limit).await.map_err(|error| match error {
            BodyError::NoRoom | BodyError::Stalled => refuse_body(&error),
            _ => refuse(413, "body-unreadable", &error.to_string()),
        })?;
    if !entry.node.keys.verify(&content, &mac) {
        return Err(refuse(401, "unauthorized", "the deployment key does not authenticate it"));
    }
    Ok(content)
}

async fn announce(entry: &Entry, request: Request<Incoming>) -> Answer {
    let content = match read_authenticated(entry, request, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(content) => content,
        Err(answer) => return answer,
    };
    let announcement: Announcement = match serde_json::from_slice(&content) {
        Ok(announcement) => announcement,
        Err(error) => return refuse(400, "no-announcement", &error.to_string()),
    };
    let notices = entry.node.apply_announcement(announcement);
    entry.handle_notices(&notices);
    body::json(StatusCode::OK, &serde_json::json!({}))
}

async fn serve_forwarded(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let limit = entry.settings.limits.body.0 as usize + FORWARD_OVERHEAD_BYTES;
    let content = match read_authenticated(&entry, request, limit).await {
        Ok(content) => content,
        Err(answer) => return answer,
    };
    let call: ForwardedCall = match postcard::from_bytes(&content) {
        Ok(call) => call,
        Err(error) => return refuse(400, "no-forwarded-call", &error.to_string()),
    };
    let ForwardedCall { header, method, path, media, key, contents, stream, body } = call;
    // The sender discards an answer that does not carry the id of its request.
    let request = header.request().clone();
    let refuse_as = |reason: Reason, title: &str| {
        let problem = Problem::new(reason.status(), reason.slug(), title, Outcome::NotRun);
        body::problem_answer(&problem.for_request(&request))
    };
    let Some(configuration) = entry.configuration() else {
        return refuse_as(Reason::NoConfiguration, Reason::NoConfiguration.title());
    };
    let region = &entry.node.region;
    let forwarded = match ForwardedRequest::receive(header, &configuration, region) {
        Ok(forwarded) => forwarded,
        Err(error) => return refuse_as(Reason::NotPermitted, &error.to_string()),
    };
    let reuse = match key.is_some() {
        true => Reuse::Never,
        false => Reuse::Allowed,
    };
    let head_timeout = inference::head_timeout(forwarded.facts());
    let method = method.parse().unwrap_or(Method::POST);
    let body = entry.memory.charge(Bytes::from(body));
    let call = Call { method, path, media, key, contents, body, stream, reuse, head_timeout };
    if let Err(refusal) = entry.admit_request() {
        return refuse_as(refusal.reason, refusal.reason.title());
    }
    let job =
        Job { origin: JobOrigin::Zone(forwarded), call, cost: inference::DEFAULT_COST_TOKENS };
    let id = job.facts().id.clone();
    let task = task::spawn_local(inference::serve(entry.clone(), job));
    task.await.unwrap_or_else(|_| {
        entry.intake.release();
        let problem = Problem::new(500, "failed", "the request failed", Outcome::Unknown);
        body::problem_answer(&problem.for_request(&id))
    })
}
