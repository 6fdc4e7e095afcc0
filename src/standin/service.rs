//! The HTTP interface of a plain service.
//!
//! A `POST` runs each time that it comes, so that a doubled call shows in the ledger. `GET` of
//! `/outcomes/{key}` tells whether a key was seen; any other `GET` is a look-up.

use std::rc::Rc;

use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::fingerprint::Fingerprint;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::{
    protocol::headers::IDEMPOTENCY_KEY,
    standin::{
        http::{self, Answer, LostAnswer, echo, json, refusal},
        upstream::Upstream,
    },
};

const OUTCOMES: &str = "/outcomes/";

pub(super) async fn handle(
    upstream: Rc<Upstream>,
    id: SmolStr,
    request: Request<Incoming>,
) -> Result<Answer, LostAnswer> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET {
        let answer = match path.strip_prefix(OUTCOMES) {
            Some(key) => outcome(&upstream, key),
            None => {
                json(StatusCode::OK, &json!({"path": path, "runs": upstream.ledger.borrow().total}))
            }
        };
        return Ok(echo(answer, &id));
    }
    let fault = upstream.faults.borrow_mut().next_answer_fault();
    if fault.dropped {
        return Err(LostAnswer);
    }
    if fault.refused {
        let message = "refused on purpose";
        return Ok(echo(refusal(StatusCode::SERVICE_UNAVAILABLE, "not_started", message), &id));
    }
    let key: SmolStr = http::header(request.headers(), IDEMPOTENCY_KEY).unwrap_or(&id).into();
    let Some(body) = http::body(request).await else {
        return Err(LostAnswer);
    };
    // The call runs to its end even if the connection breaks meanwhile.
    let call = Call { id: id.clone(), key, path, content: Fingerprint::of(&body) };
    let run = tokio::task::spawn_local(run(Rc::clone(&upstream), call));
    let Ok(answer) = run.await else {
        return Err(LostAnswer);
    };
    sleep(fault.delay).await;
    if fault.lost {
        return Err(LostAnswer);
    }
    let answer_id = upstream.answer_id(&id, fault);
    Ok(echo(json(StatusCode::OK, &answer), &answer_id))
}

struct Call {
    id: SmolStr,
    key: SmolStr,
    path: String,
    content: Fingerprint,
}

async fn run(upstream: Rc<Upstream>, call: Call) -> Value {
    let count = upstream.ledger.borrow_mut().begin(&call.key);
    upstream.calls.set(upstream.calls.get() + 1);
    sleep(upstream.settings.service_time.mul_f64(upstream.slowdown())).await;
    upstream.thaw().await;
    upstream.calls.set(upstream.calls.get().saturating_sub(1));
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
