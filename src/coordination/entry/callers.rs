//! The callers' HTTP interface.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /v1/entries` | entry instances to use, in order, with a lifetime |
//! | `GET /v1/models` | models that the configuration names |
//! | `POST /v1/chat/completions`, `POST /v1/completions` | inference, streamed or not |
//! | any method `/v1/services/{service}/{path}` | a call to a plain service |
//! | `GET /v1/requests/{id}` | the outcome of one of the team's requests |
//!
//! Every request carries a team's bearer key. Every answer to a request that was admitted carries
//! the request id.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::{
    directory,
    fingerprint::Fingerprint,
    home::BookingKey,
    ids::{RequestId, ServiceId},
    membership::Target,
    record::Outcome,
    refusal::{Reason, Refusal},
    release::{Configuration, ItemKey, item::Team},
    routing::{CallerRequest, RequestFacts},
    suspects::RequestContents,
    units::Tokens,
};
use serde_json::json;
use smol_str::{SmolStr, ToSmolStr};
use tokio::{net::TcpListener, sync::watch, task, time::timeout};

use crate::{
    coordination::{
        entry::{
            Entry,
            exchange::Call,
            inference::{self, Job, JobOrigin},
            services::{self, Booking},
        },
        lookup::{self, RecordStatus},
        node::ActiveConfiguration,
        operators::{bearer_key, record_status_answer, refuse_body},
    },
    protocol::{Problem, headers, inference::InferenceParams},
    transport::{
        body::{self, Answer, BodyError},
        http_client::Reuse,
        http_server,
        memory::ClientMemory,
    },
};

/// Time for the home group to answer a look-up.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(4);

/// Path prefix of calls to plain services.
const SERVICES_PATH: &str = "/v1/services/";

/// Serves the callers' interface until `stop` turns true.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let limits = entry.server_limits();
    let entry_memory = entry.memory.clone();
    let handler = move |request, _| {
        let entry = entry.clone();
        async move { handle_request(entry, request).await }
    };
    http_server::serve_within(listener, limits, entry_memory, stop, handler).await;
}

/// An authenticated caller, with the configuration by which it was authenticated.
struct Caller {
    team: Team,
    configuration: Rc<ActiveConfiguration>,
}

async fn handle_request(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let caller = match authenticate(&entry, &request) {
        Ok(caller) => caller,
        Err(answer) => return answer,
    };
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/entries") => entries(&entry, &caller.team),
        (&Method::GET, "/v1/models") => models(&caller.configuration),
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            infer(entry, caller, request).await
        }
        (&Method::GET, path) if path.starts_with("/v1/requests/") => {
            look_up(&entry, &caller.team, path).await
        }
        (_, path) if path.starts_with(SERVICES_PATH) => call_service(entry, caller, request).await,
        _ => refuse(404, "not-found", "there is no such resource"),
    }
}

fn refuse(status: u16, kind: &str, title: &str) -> Answer {
    body::problem_answer(&Problem::new(status, kind, title, Outcome::NotRun))
}

fn refuse_for(entry: &Entry, reason: Reason, wait: Duration) -> Answer {
    body::problem_answer(&Problem::from_refusal(&entry.refusal(reason, wait)))
}

fn authenticate(entry: &Entry, request: &Request<Incoming>) -> Result<Caller, Answer> {
    let Some(configuration) = entry.configuration() else {
        return Err(refuse_for(entry, Reason::NoConfiguration, Duration::from_secs(1)));
    };
    let key = bearer_key(request).map(|it| Fingerprint::of(it.as_bytes()));
    let team = key.and_then(|it| configuration.team_of_key(it)).cloned();
    match team {
        Some(team) => Ok(Caller { team, configuration }),
        None => Err(refuse(401, "unauthorized", "the bearer key is no team's")),
    }
}

fn entries(entry: &Entry, team: &Team) -> Answer {
    let node = &entry.node;
    let members = node.members.borrow();
    let listed = directory::for_caller(node.now(), &members, team, &mut rand::rng());
    let addresses = listed.entries.iter().filter_map(|id| {
        let peer = node.cluster.peer(id)?;
        let address = peer.callers?;
        Some(json!({ "id": id, "zone": peer.zone, "address": address }))
    });
    let addresses: Vec<serde_json::Value> = addresses.collect();
    let lifetime = listed.lifetime.as_secs();
    body::json(StatusCode::OK, &json!({ "entries": addresses, "lifetime": lifetime }))
}

fn models(configuration: &Configuration) -> Answer {
    let models = configuration
        .models()
        .map(|it| json!({ "id": it.id, "object": "model", "owned_by": "medlarlug", "created": 0 }));
    let models: Vec<serde_json::Value> = models.collect();
    body::json(StatusCode::OK, &json!({ "object": "list", "data": models }))
}

async fn look_up(entry: &Entry, team: &Team, path: &str) -> Answer {
    let id: RequestId = match path.trim_start_matches("/v1/requests/").parse() {
        Ok(id) => id,
        Err(error) => return refuse(400, "no-request-id", &format!("{error}")),
    };
    let recent = entry.journal.borrow().find(&id).cloned();
    let status = match recent {
        // The outcome may have been resolved since then; the home group has the newest record.
        Some(record) if record.outcome == Some(Outcome::Unknown) => {
            let newest = lookup::record_status(&entry.node, &id, LOOK_UP_TIMEOUT).await;
            newest.or(Ok(RecordStatus::Recorded(record)))
        }
        Some(record) => Ok(RecordStatus::Recorded(record)),
        None => lookup::record_status(&entry.node, &id, LOOK_UP_TIMEOUT).await,
    };
    match status {
        Ok(RecordStatus::Recorded(record)) if record.team != team.id => {
            refuse(404, "no-record", lookup::NOT_FOUND_TITLE)
        }
        status => record_status_answer(status),
    }
}

/// Reads the body of a caller's request within the limits of size and time.
async fn read_body(entry: &Entry, request: Request<Incoming>) -> Result<Bytes, Answer> {
    let limits = &entry.settings.limits;
    let memory = ClientMemory::of(&request);
    let reading = memory.read_body(request.into_body(), limits.body.0 as usize);
    let result = timeout(limits.receive_timeout, reading).await;
    result.unwrap_or(Err(BodyError::Stalled)).map_err(|error| refuse_body(&error))
}

/// Deadline for the first token: that of the policy, or a shorter one that the caller requests.
fn deadline_of(configuration: &Configuration, request: &Request<Incoming>) -> Duration {
    let policy = configuration.policy();
    let longest = policy
        .map_or(inference::DEFAULT_DEADLINE, |it| Duration::from_millis(it.deadline_ms.into()));
    let requested = request.headers().get(headers::DEADLINE).and_then(|it| it.to_str().ok());
    let requested = requested.and_then(|it| it.parse().ok()).map(Duration::from_millis);
    requested.map_or(longest, |requested| requested.min(longest))
}

async fn infer(entry: Rc<Entry>, caller: Caller, request: Request<Incoming>) -> Answer {
    if entry.intake.is_leaving() {
        return refuse_for(&entry, Reason::Leaving, Duration::ZERO);
    }
    let path = request.uri().path().to_smolstr();
    let deadline = deadline_of(&caller.configuration, &request);
    let content = match read_body(&entry, request).await {
        Ok(content) => content,
        Err(answer) => return answer,
    };
    let params = match InferenceParams::parse(&content) {
        Ok(params) => params,
        Err(error) => return refuse(400, "no-inference-request", &error.to_string()),
    };
    let target = ItemKey::Model(params.model.clone());
    if caller.configuration.item(&target).is_none() {
        return refuse(404, "unknown-model", &format!("there is no {target}"));
    }
    let id = match entry.begin_request(caller.team.id.clone(), target) {
        Ok(id) => id,
        Err(refusal) => return body::problem_answer(&Problem::from_refusal(&refusal)),
    };
    if let Err(refusal) = entry.check_limit(&caller.team.id) {
        return inference::refuse(&entry, &id, &refusal);
    }
    let facts = RequestFacts {
        id: id.clone(),
        team: caller.team.id,
        target: Target::Model(params.model.clone()),
        adapter: params.adapter.clone(),
        prompt: params.prompt_tokens,
        prefixes: inference::prefixes_of(&params),
        priority: caller.team.priority,
        deadline,
        excluded: Vec::new(),
    };
    let head_timeout = inference::head_timeout(&facts);
    let call = inference::call_of(path, content, &params, head_timeout);
    let cost = inference::cost_of(&params);
    let job = Job { origin: JobOrigin::Caller(CallerRequest::new(facts)), call, cost };
    // The request continues to its recorded end if the caller's connection is lost.
    let task = task::spawn_local(inference::serve(entry.clone(), job));
    wait_for_answer(&entry, &id, task, Outcome::Failed).await
}

/// Waits for the answer; aborts the request with `outcome` at the drain deadline.
async fn wait_for_answer(
    entry: &Entry,
    id: &RequestId,
    mut task: task::JoinHandle<Answer>,
    outcome: Outcome,
) -> Answer {
    tokio::select! {
        answer = &mut task => answer.unwrap_or_else(|_| {
            entry.end_request(id, Outcome::Unknown, "the request failed");
            internal_error(id)
        }),
        () = entry.intake.wait_for_abort() => {
            task.abort();
            inference::refuse(entry, id, &entry.abort_refusal(outcome))
        }
    }
}

fn internal_error(id: &RequestId) -> Answer {
    let problem = Problem::new(500, "failed", "the request failed", Outcome::Unknown);
    body::problem_answer(&problem.for_request(id))
}

/// Parses service and path of `/v1/services/{service}/{path}`.
fn service_path(request: &Request<Incoming>) -> Result<(ServiceId, SmolStr), Answer> {
    let target = request.uri().path_and_query().map_or("", |it| it.as_str());
    let rest = target.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service =
        service.parse().map_err(|error| refuse(400, "no-service-id", &format!("{error}")))?;
    Ok((service, smol_str::format_smolstr!("/{path}")))
}

/// Refuses a call to a service. If the call has a key, the answer states that the outcome of an
/// earlier call under it is unknown.
fn refuse_call(refusal: &Refusal, is_keyed: bool) -> Answer {
    let problem = Problem::from_refusal(refusal);
    body::problem_answer(&if is_keyed { problem.with_unknown_earlier_outcome() } else { problem })
}

async fn call_service(entry: Rc<Entry>, caller: Caller, request: Request<Incoming>) -> Answer {
    let is_keyed = request.headers().contains_key(headers::IDEMPOTENCY_KEY);
    if entry.intake.is_leaving() {
        return refuse_call(&entry.refusal(Reason::Leaving, Duration::ZERO), is_keyed);
    }
    let (id, path) = match service_path(&request) {
        Ok(parts) => parts,
        Err(answer) => return answer,
    };
    let Caller { team, configuration } = caller;
    let Some(service) = configuration.service(&id).cloned() else {
        return refuse(404, "unknown-service", &format!("there is no service {id}"));
    };
    let method = request.method().clone();
    let is_idempotent = service.idempotent || matches!(method, Method::GET | Method::HEAD);
    let key = match (booking_key(&entry, &request), is_idempotent) {
        (Err(answer), _) => return answer,
        (Ok(None), false) => {
            let title = "this call may not be repeated; send an Idempotency-Key";
            return refuse(400, "no-idempotency-key", title);
        }
        (Ok(key), _) => key.filter(|_| !is_idempotent),
    };
    let media = request.headers().get(hyper::header::CONTENT_TYPE);
    let media = media.and_then(|it| it.to_str().ok()).map(SmolStr::new);
    let deadline = deadline_of(&configuration, &request);
    let content = match read_body(&entry, request).await {
        Ok(content) => content,
        Err(answer) => return answer,
    };
    let request_id = match entry.begin_request(team.id.clone(), ItemKey::Service(id.clone())) {
        Ok(id) => id,
        Err(refusal) => return refuse_call(&refusal, is_keyed),
    };
    if let Err(refusal) = entry.check_limit(&team.id) {
        return match key {
            Some(_) => services::refuse_before_lookup(&entry, &request_id, &refusal),
            None => inference::refuse(&entry, &request_id, &refusal),
        };
    }
    let facts = RequestFacts {
        id: request_id.clone(),
        team: team.id.clone(),
        target: Target::Service(id),
        adapter: None,
        prompt: Tokens(0),
        prefixes: Vec::new(),
        priority: team.priority,
        deadline,
        excluded: Vec::new(),
    };
    let reuse = match key.is_some() {
        true => Reuse::Never,
        false => Reuse::Allowed,
    };
    let call_fingerprint = content_fingerprint(&method, &path, &content);
    let call = Call {
        method,
        path,
        media,
        key: key.as_ref().map(|it| it.to_smolstr()),
        head_timeout: inference::head_timeout(&facts),
        contents: RequestContents::new(call_fingerprint, Vec::new()),
        body: content,
        stream: false,
        reuse,
    };
    let cost = inference::DEFAULT_COST_TOKENS;
    let job = Job { origin: JobOrigin::Caller(CallerRequest::new(facts)), call, cost };
    let home = configuration.home_of(&team.id);
    let epoch = home.map_or(configuration.revision, |it| it.epoch);
    let moved = home.is_some_and(|it| it.from.is_some());
    // The call continues to its recorded end if the caller's connection is lost.
    let outcome = if key.is_some() { Outcome::Unknown } else { Outcome::Failed };
    let task = match key {
        None => task::spawn_local(inference::serve(entry.clone(), job)),
        Some(key) => task::spawn_local(services::book(
            entry.clone(),
            Booking {
                team: team.id,
                home: team.home,
                revision: configuration.revision,
                epoch,
                moved,
                key,
                fingerprint: call_fingerprint,
                can_query_outcome: service.reports_outcomes,
                job,
            },
        )),
    };
    wait_for_answer(&entry, &request_id, task, outcome).await
}

fn booking_key(entry: &Entry, request: &Request<Incoming>) -> Result<Option<BookingKey>, Answer> {
    let Some(value) = request.headers().get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let longest = entry.settings.limits.key_limit;
    if text.len() > longest {
        let title = format!("the Idempotency-Key has more than {longest} bytes");
        return Err(refuse(400, "key-too-long", &title));
    }
    let key = text.parse().map_err(|error| refuse(400, "no-idempotency-key", &format!("{error}")));
    key.map(Some)
}

fn content_fingerprint(method: &Method, path: &str, content: &[u8]) -> Fingerprint {
    let mut text = format!("{method} {path}\n").into_bytes();
    text.extend_from_slice(content);
    Fingerprint::of(&text)
}
