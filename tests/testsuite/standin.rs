//! The stand-in process: its emulated engines and plain services, and the faults injected into them.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use medlarlug::{
    settings::StandinSettings,
    standin::{
        self,
        answer::{chat_prompt, expected},
    },
    transport::http_client::{CallLimits, HttpCallError, HttpClient, Reuse},
};
use medlarlug_core::{
    ids::{Incarnation, Term},
    orders::{FencingToken, Order, OrderKind, Role, Task},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use test_support::{free_address, id};
use tokio::{net::TcpListener, runtime::Builder, task::LocalSet};

const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(20), head: Duration::from_secs(20) };

/// Addresses and settings of a stand-in with one engine and one plain service, and a client of it.
struct Fixture {
    engine: SocketAddr,
    engine_control: SocketAddr,
    service: SocketAddr,
    service_control: SocketAddr,
    announce_to: SocketAddr,
    client: HttpClient,
    _folder: TempDir,
}

#[derive(Debug)]
struct Reply {
    status: StatusCode,
    request: Option<String>,
    body: String,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The text of a streamed answer, and whether its terminal event arrived.
    fn streamed(&self) -> (String, bool) {
        let mut data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut text = String::new();
        for it in data.clone().filter(|it| *it != "[DONE]") {
            let chunk: Value = serde_json::from_str(it).unwrap();
            text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        (text, data.next_back() == Some("[DONE]"))
    }
}

impl Fixture {
    fn settings(&self) -> PathBuf {
        self._folder.path().join("standin.yaml")
    }

    async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, HttpCallError> {
        let (answer, _connection) = self.client.call(to, request, Reuse::Never, LIMITS).await?;
        let status = answer.status();
        let request = answer.headers().get("x-request-id");
        let request = request.map(|it| it.to_str().unwrap().to_owned());
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        Ok(Reply { status, request, body: String::from_utf8(body.to_vec()).unwrap() })
    }

    async fn get(&self, to: SocketAddr, path: &str) -> Value {
        self.call(to, request(Method::GET, path, &Value::Null)).await.unwrap().json()
    }

    async fn chat(&self, id: &str, content: &str, tokens: usize) -> Result<Reply, HttpCallError> {
        let mut request = request(Method::POST, "/v1/chat/completions", &chat(content, tokens));
        request.headers_mut().insert("x-request-id", id.parse().unwrap());
        self.call(self.engine, request).await
    }

    async fn book(&self, key: &str) -> Result<Reply, HttpCallError> {
        let mut request = request(Method::POST, "/jobs", &json!({"points": 3}));
        request.headers_mut().insert("idempotency-key", key.parse().unwrap());
        self.call(self.service, request).await
    }

    async fn inject(&self, control: SocketAddr, fault: Value) {
        let reply = self.call(control, request(Method::POST, "/faults", &fault)).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    }

    async fn order(&self, term: u64, role: Role) -> StatusCode {
        let state = self.get(self.engine_control, "/state").await;
        let incarnation = Incarnation(state["incarnation"].as_u64().unwrap());
        let kind = OrderKind::ChangeRole(role);
        let task = Task { upstream: id("engine"), incarnation, kind };
        let order = Order { fence: FencingToken { term: Term(term), sequence: 1 }, task };
        let body = serde_json::to_value(order).unwrap();
        self.call(self.engine, request(Method::POST, "/v1/orders", &body)).await.unwrap().status
    }
}

fn request(method: Method, path: &str, body: &Value) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    Request::builder().method(method).uri(path).header("host", "standin").body(body).unwrap()
}

fn chat(content: &str, tokens: usize) -> Value {
    json!({
        "model": "medlar",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    })
}

fn answer_to(content: &str, tokens: usize) -> String {
    expected(&chat_prompt(&[("user", content)]), Some(tokens))
}

fn fixture(fencing: bool) -> Fixture {
    let folder = TempDir::new().unwrap();
    let [engine, engine_control, service, service_control, announce_to] =
        std::array::from_fn(|_| free_address());
    let text = format!(
        "key: [key]
upstreams:
  - id: engine
    zone: riga-a
    address: {engine}
    control: {engine_control}
    announce_to: [{announce_to}]
    kind: {{ engine: {{ models: [{{ model: medlar, version: v1 }}] }} }}
    slots: 2
    speed: 400
    fencing: {fencing}
    lag_ms: 100
    crash_marker: true
  - id: desk
    zone: riga-a
    address: {service}
    control: {service_control}
    announce_to: []
    kind: {{ service: {{ service: jobdesk }} }}
    slots: 4
    work_ms: 5
"
    );
    std::fs::write(folder.path().join("standin.yaml"), text).unwrap();
    std::fs::write(folder.path().join("key"), "sixteen characters or more").unwrap();
    Fixture {
        engine,
        engine_control,
        service,
        service_control,
        announce_to,
        client: HttpClient::default(),
        _folder: folder,
    }
}

/// Runs `test` beside a stand-in on one thread.
fn with_standin(fixture: Fixture, test: impl AsyncFnOnce(&Fixture)) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let settings = StandinSettings::load(&fixture.settings()).unwrap();
    LocalSet::new().block_on(&runtime, async {
        let process = tokio::task::spawn_local(standin::run(settings));
        let probe = request(Method::GET, "/v1/models", &Value::Null);
        while fixture.call(fixture.engine, probe.clone()).await.is_err() {
            assert!(!process.is_finished(), "the stand-in did not start");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        test(&fixture).await;
    });
}

#[test]
fn streamed_answer_is_complete_and_depends_on_the_prompt_alone() {
    with_standin(fixture(true), async |fixture| {
        let first = fixture.chat("riga.e.1.1", "explain the shift", 5).await.unwrap();
        let second = fixture.chat("riga.e.1.2", "explain the shift", 5).await.unwrap();

        assert_eq!(first.streamed(), (answer_to("explain the shift", 5), true));
        assert_eq!(second.streamed(), first.streamed());
        assert_eq!(first.request.as_deref(), Some("riga.e.1.1"));
        assert!(first.body.contains("\"id\":\"riga.e.1.1\""));
    });
}

#[test]
fn stream_resumes_from_an_offset_on_a_new_connection() {
    with_standin(fixture(true), async |fixture| {
        let whole = fixture.chat("riga.e.1.1", "explain", 6).await.unwrap();

        let path = "/v1/streams/riga.e.1.1?offset=4";
        let rest =
            fixture.call(fixture.engine, request(Method::GET, path, &Value::Null)).await.unwrap();

        assert!(rest.body.starts_with("id: 4\n"));
        assert!(whole.body.ends_with(&rest.body));
    });
}

#[test]
fn cancelled_stream_ends_with_an_error_event() {
    with_standin(fixture(true), async |fixture| {
        let long = fixture.chat("riga.e.1.1", "explain", 50_000);
        let cancel = async {
            let path = "/v1/streams/riga.e.1.1";
            loop {
                let delete = request(Method::DELETE, path, &Value::Null);
                if fixture.call(fixture.engine, delete).await.unwrap().status == StatusCode::OK {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };

        let (reply, ()) = tokio::join!(long, cancel);

        let reply = reply.unwrap();
        assert!(!reply.body.contains("[DONE]"));
        assert!(reply.body.contains("event: error"));
    });
}

#[test]
fn duplicate_call_is_counted_in_the_ledger() {
    with_standin(fixture(true), async |fixture| {
        fixture.book("key-1").await.unwrap();
        fixture.book("key-1").await.unwrap();

        let runs = fixture.get(fixture.service_control, "/runs").await;

        assert_eq!(runs["runs"][0]["key"], "key-1");
        assert_eq!(runs["runs"][0]["count"], 2);
    });
}

#[test]
fn call_whose_answer_is_lost_has_run_and_its_outcome_can_be_queried() {
    with_standin(fixture(true), async |fixture| {
        fixture.inject(fixture.service_control, json!({"kind": "lose_answer", "count": 1})).await;

        let lost = fixture.book("key-1").await;

        assert_matches!(lost, Err(HttpCallError::Lost { .. }));
        let outcome = fixture.get(fixture.service, "/outcomes/key-1").await;
        assert_eq!(outcome["state"], "ran");
        assert_eq!(outcome["answer"]["key"], "key-1");
        let other = fixture.get(fixture.service, "/outcomes/key-2").await;
        assert_eq!(other["state"], "not_seen");
    });
}

#[test]
fn refused_call_did_not_run() {
    with_standin(fixture(true), async |fixture| {
        fixture.inject(fixture.service_control, json!({"kind": "refuse", "count": 1})).await;

        let refused = fixture.book("key-1").await.unwrap();

        assert_eq!(refused.json()["error"]["code"], "not_started");
        let runs = fixture.get(fixture.service_control, "/runs").await;
        assert_eq!(runs["total"], 0);
    });
}

#[test]
fn misdelivered_answer_carries_another_id() {
    with_standin(fixture(true), async |fixture| {
        fixture.chat("riga.e.1.1", "first", 3).await.unwrap();
        fixture.inject(fixture.engine_control, json!({"kind": "crossed_answer", "count": 1})).await;

        let misdelivered = fixture.chat("riga.e.1.2", "second", 3).await.unwrap();

        assert_eq!(misdelivered.request.as_deref(), Some("riga.e.1.1"));
        assert!(misdelivered.body.contains("\"id\":\"riga.e.1.1\""));
        assert_ne!(misdelivered.streamed().0, answer_to("second", 3));
    });
}

#[test]
fn unresponsive_connection_stays_open_while_new_ones_work() {
    with_standin(fixture(true), async |fixture| {
        let limits = CallLimits { head: Duration::from_millis(200), ..LIMITS };
        let models = || request(Method::GET, "/v1/models", &Value::Null);
        let (answer, connection) =
            fixture.client.call(fixture.engine, models(), Reuse::Allowed, limits).await.unwrap();
        answer.into_body().collect().await.unwrap();
        fixture.client.release(connection);
        fixture.inject(fixture.engine_control, json!({"kind": "silence_open_connections"})).await;

        let unresponsive =
            fixture.client.call(fixture.engine, models(), Reuse::Allowed, limits).await;
        let fresh = fixture.call(fixture.engine, models()).await;

        assert_matches!(unresponsive.map(|_| ()), Err(HttpCallError::TimedOut { .. }));
        assert_eq!(fresh.unwrap().status, StatusCode::OK);
    });
}

#[test]
fn crash_marker_crashes_the_engine_and_not_the_service() {
    with_standin(fixture(true), async |fixture| {
        let crashed = fixture.chat("riga.e.1.1", "CRASH-ME now", 3).await;

        assert_matches!(crashed.map(|_| ()), Err(HttpCallError::Lost { .. }));
        let state = fixture.get(fixture.engine_control, "/state").await;
        assert_eq!(state["down"], true);
        assert_eq!(fixture.book("key-1").await.unwrap().status, StatusCode::OK);
    });
}

#[test]
fn crashed_upstream_restarts_under_a_higher_incarnation() {
    with_standin(fixture(true), async |fixture| {
        let before = fixture.get(fixture.engine_control, "/state").await;
        fixture.inject(fixture.engine_control, json!({"kind": "crash", "restart_ms": 10})).await;

        let mut after = fixture.get(fixture.engine_control, "/state").await;
        while after["down"] == true {
            tokio::time::sleep(Duration::from_millis(5)).await;
            after = fixture.get(fixture.engine_control, "/state").await;
        }

        assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
        assert_eq!(fixture.chat("riga.e.1.1", "again", 3).await.unwrap().status, StatusCode::OK);
    });
}

#[test]
fn order_with_an_old_fencing_token_is_refused_only_where_fencing_is_checked() {
    with_standin(fixture(true), async |fixture| {
        assert_eq!(fixture.order(2, Role::Decode).await, StatusCode::OK);
        assert_eq!(fixture.order(2, Role::Decode).await, StatusCode::OK);
        assert_eq!(fixture.order(1, Role::Prefill).await, StatusCode::CONFLICT);

        let state = fixture.get(fixture.engine_control, "/state").await;
        assert_eq!(state["role"], "decode");
    });
    with_standin(fixture(false), async |fixture| {
        assert_eq!(fixture.order(2, Role::Decode).await, StatusCode::OK);
        assert_eq!(fixture.order(1, Role::Prefill).await, StatusCode::OK);

        let state = fixture.get(fixture.engine_control, "/state").await;
        assert_eq!(state["role"], "prefill");
    });
}

#[test]
fn announcement_is_signed_and_carries_the_age_of_its_load() {
    use medlarlug::protocol::{DeploymentKey, DeploymentKeys};
    use medlarlug_core::announcement::Announcement;
    use tokio::io::AsyncReadExt;

    with_standin(fixture(true), async |fixture| {
        let listener = TcpListener::bind(fixture.announce_to).await.unwrap();
        let keys = vec![DeploymentKey::derive("sixteen characters or more")];
        let keys = DeploymentKeys::new(keys).unwrap();

        let (mut socket, _) = listener.accept().await.unwrap();
        let mut text = String::new();
        while !text.ends_with('}') {
            let mut buffer = [0; 4096];
            let count = socket.read(&mut buffer).await.unwrap();
            assert_ne!(count, 0, "the connection closed before the announcement was complete");
            text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        }

        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        let mac = head.lines().find_map(|it| it.strip_prefix("x-medlarlug-mac: ")).unwrap();
        assert!(head.starts_with("POST /v1/announce "));
        assert!(keys.verify(body.as_bytes(), mac));
        let announcement: Announcement = serde_json::from_str(body).unwrap();
        assert_eq!(announcement.id, id("engine"));
        assert!(announcement.load.age >= Duration::from_millis(100));
    });
}
