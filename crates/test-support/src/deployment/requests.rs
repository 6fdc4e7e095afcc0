//! Requests to the processes of a deployment, and waits for the state that they report.

use std::net::SocketAddr;

use medlarlug_core::release::{Item, RawNote};
use serde_json::Value;

use super::{CALLER_KEY, CONDITION_TIMEOUT, Deployment, OPERATOR_KEY, wait_for};

impl Deployment {
    /// Sends a GET request to the operators' interface of an instance, as the operator `anna`.
    pub fn operator_get(&self, id: &str, path: &str) -> Reply {
        call("GET", self.get(id).operators, path, &[("authorization", &bearer(OPERATOR_KEY))], "")
    }

    /// Applies a release note through the operators' interface of an instance.
    pub fn apply(&self, id: &str, note: &RawNote) -> Reply {
        let body = serde_json::to_string(note).expect("a note is JSON");
        let headers = [("authorization", bearer(OPERATOR_KEY))];
        let headers: Vec<(&str, &str)> = headers.iter().map(|it| (it.0, it.1.as_str())).collect();
        call("POST", self.get(id).operators, "/release/apply", &headers, &body)
    }

    /// Applies the first release note and waits until every entry instance uses it and the home
    /// groups are founded.
    pub fn configure(&self, items: Vec<Item>) {
        let note = crate::note(0, items);
        let entry = self.instances.iter().find(|it| it.is_entry).expect("an entry instance");
        wait_for("the first release note", || self.apply(&entry.id, &note).status == 200);
        for it in self.instances.iter().filter(|it| it.is_entry) {
            wait_for("the revision at each entry", || {
                let status = self.operator_get(&it.id, "/status").json;
                status["revision"].as_u64().is_some_and(|it| it > 0)
            });
        }
        self.wait_founded();
    }

    /// Waits until the home groups are founded, after which they accept bookings.
    fn wait_founded(&self) {
        for it in self.instances.iter().filter(|it| !it.is_entry) {
            wait_for("the founding of the home groups", || {
                let dump = self.operator_get(&it.id, "/dump").json;
                let groups = dump["process"]["groups"].as_array().cloned().unwrap_or_default();
                let is_ready =
                    |it: &Value| it["group"] == "configuration" || it["founded"].is_u64();
                !groups.is_empty() && groups.iter().all(is_ready)
            });
        }
    }

    /// Waits until an entry instance knows at least `count` upstreams of its zone.
    pub fn wait_upstreams(&self, id: &str, count: usize) {
        wait_for("announcements of upstreams", || {
            let known = self.operator_get(id, "/upstreams").json;
            known.as_array().is_some_and(|it| it.len() >= count)
        });
    }

    /// Sends a request to an entry instance as the team `survey`.
    pub fn caller_request(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let key = bearer(CALLER_KEY);
        let mut all = vec![("authorization", key.as_str())];
        all.extend_from_slice(headers);
        call(method, self.get(id).callers, path, &all, body)
    }

    /// Requests a completion that is not streamed, as the team `survey`.
    pub fn complete(&self, id: &str, model: &str, prompt: &str) -> Reply {
        self.complete_as(CALLER_KEY, id, model, prompt)
    }

    /// Requests a completion that is not streamed, as the team that owns the bearer key `caller`.
    pub fn complete_as(&self, caller: &str, id: &str, model: &str, prompt: &str) -> Reply {
        let body = serde_json::json!({ "model": model, "prompt": prompt, "max_tokens": 4 });
        let bearer = bearer(caller);
        let headers = [("authorization", bearer.as_str())];
        call("POST", self.get(id).callers, "/v1/completions", &headers, &body.to_string())
    }

    /// Sends a booking with an idempotency key as the team `survey`.
    pub fn book(&self, id: &str, key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.caller_request(id, "POST", "/v1/services/jobdesk/jobs", &headers, body)
    }

    /// Waits until a booking succeeds at every entry instance, for use after injected faults.
    pub fn wait_recovered(&self) {
        for (count, it) in self.instances.iter().filter(|it| it.is_entry).enumerate() {
            let mut attempts = 0;
            wait_for("a booking after the faults", || {
                attempts += 1;
                self.book(&it.id, &format!("settle-{count}-{attempts}"), "{}").status == 200
            });
        }
    }

    /// Sends a booking as the team that owns the bearer key `caller`.
    pub fn book_as(&self, caller: &str, id: &str, key: &str, body: &str) -> Reply {
        let bearer = bearer(caller);
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        call("POST", self.get(id).callers, "/v1/services/jobdesk/jobs", &headers, body)
    }

    /// How often the services ran the call with this idempotency key, over all upstreams.
    pub fn run_count(&self, key: &str) -> u64 {
        let services = self.upstreams.iter().filter(|it| it.kind.contains("service"));
        services.map(|it| run_count_at(it.control, key)).sum()
    }

    /// Injects a fault, in the JSON form of the control port, into an emulated upstream.
    pub fn inject_fault(&self, upstream: &str, fault: &Value) -> Reply {
        let upstream = self.upstreams.iter().find(|it| it.id == upstream).expect("an upstream");
        call("POST", upstream.control, "/faults", &[], &fault.to_string())
    }
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

fn run_count_at(control: SocketAddr, key: &str) -> u64 {
    let runs = call("GET", control, "/runs", &[], "").json;
    let list = runs["runs"].as_array().cloned().unwrap_or_default();
    let counts = list.iter().filter(|it| it["key"] == key).filter_map(|it| it["count"].as_u64());
    counts.sum()
}

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status; 0 if there was no complete answer.
    pub status: u16,
    /// Value of the header `x-request-id`; empty if there was none.
    pub request_id: String,
    /// The body before it is parsed as JSON; empty if there was no complete answer.
    pub text: String,
    /// The body as JSON; null if it is none.
    pub json: Value,
}

/// Sends an HTTP request and reads the whole answer, within [`CONDITION_TIMEOUT`].
pub fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let none =
        Reply { status: 0, request_id: String::new(), text: String::new(), json: Value::Null };
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CONDITION_TIMEOUT))
        .build()
        .into();
    let mut request =
        ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).expect("a valid request");
    let Ok(mut answer) = agent.run(request) else { return none };
    let id = answer.headers().get("x-request-id").and_then(|it| it.to_str().ok());
    let request_id = id.unwrap_or_default().to_owned();
    let status = answer.status().as_u16();
    let Ok(text) = answer.body_mut().read_to_string() else {
        return Reply { request_id, ..none };
    };
    let json = serde_json::from_str(&text).unwrap_or_default();
    Reply { status, request_id, text, json }
}
