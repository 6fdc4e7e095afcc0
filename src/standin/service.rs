//! The HTTP interface of a plain service.
//!
//! Every `POST` that arrives runs, so that a duplicated call is visible in the ledger. `GET` of
//! `/outcomes/{key}` returns whether a key has run; any other `GET` is a read-only call.

use std::rc::Rc;

use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::fingerprint::Fingerprint;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::{
    protocol::headers::IDEMPOTENCY_KEY,
    standin::{
        http::{self, Answer, ConnectionAborted, json, refusal, with_request_id},
        upstream::Upstream,
    },
};

const OUTCOMES_PATH: &str = "/outcomes/";

pub(super) async fn handle(
    upstream: Rc<Upstream>,
    id: SmolStr,
    request: Request<Incoming>,
) -> Result<Answer, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET {
        let answer = match path.strip_prefix(OUTCOMES_PATH) {
            Some(key) => outcome(&upstream, key),
            None => {
                json(StatusCode::OK, &json!({"path": path, "runs": upstream.ledger.borrow().total}))
            }
        };
        return Ok(with_request_id(answer, &id));
    }
    let fault = upstream.faults.borrow_mut().next_answer_fault();
    if fault.dropped {
        return Err(ConnectionAborted);
    }
    if fault.refused {
        let message = "refused on purpose";
        return Ok(with_request_id(
            refusal(StatusCode::SERVICE_UNAVAILABLE, "not_started", message),
            &id,
        ));
    }
    let key: SmolStr = http::header(request.headers(), IDEMPOTENCY_KEY).unwrap_or(&id).into();
    let Some(body) = http::body(request).await else {
        return Err(ConnectionAborted);
    };
    // The call runs to its end even if the connection fails in the meantime.
    let call = Call { id: id.clone(), key, path, content: Fingerprint::of(&body) };
    let run = tokio::task::spawn_local(run(Rc::clone(&upstream), call));
    let Ok(answer) = run.await else {
        return Err(ConnectionAborted);
    };
    sleep(fault.delay).await;
    if fault.lost {
        return Err(ConnectionAborted);
    }
    let answer_id = upstream.answer_id(&id, fault);
    Ok(with_request_id(json(StatusCode::OK, &answer), &answer_id))
}

struct Call {
    id: SmolStr,
    key: SmolStr,
    path: String,
    content: Fingerprint,
}

async fn run(upstream: Rc<Upstream>, call: Call) -> Value {
    let count = upstream.ledger.borrow_mut().begin(&call.key);
    upstream.running_calls.set(upstream.running_calls.get() + 1);
    sleep(upstream.settings.service_time.mul_f64(upstream.slowdown())).await;
    upstream.wait_while_frozen().await;
    upstream.running_calls.set(upstream.running_calls.get().saturating_sub(1));
    let answer = json!({
        "id": call.id,
        "key": call.key,
        "path": call.path,
        "content": call.content.to_string(),
        "upstream": upstream.settings.id,
        "run": count,
    });
    upstream.ledger.borrow_mut().end(&call.key, answer.clone());
    answer
}

fn outcome(upstream: &Upstream, key: &str) -> Answer {
    let ledger = upstream.ledger.borrow();
    let body = match ledger.get(key) {
        None => json!({"state": "not_seen"}),
        Some(run) => match &run.answer {
            None => json!({"state": "running"}),
            Some(answer) => json!({"state": "ran", "request": answer["id"], "answer": answer}),
        },
    };
    json(StatusCode::OK, &body)
}
