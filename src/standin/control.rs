//! The control port of an upstream, for tests.

use std::{convert::Infallible, io, rc::Rc};

use hyper::{
    Method, Request, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{net::TcpListener, task::spawn_local};

use crate::standin::{
    faults::Fault,
    http::{self, Answer, json, refusal},
    upstream::Upstream,
};

/// Serves the control port, which stays available while the upstream is down.
pub(super) async fn start(upstream: Rc<Upstream>) -> io::Result<()> {
    let listener = TcpListener::bind(upstream.settings.control).await?;
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let upstream = Rc::clone(&upstream);
            let service = service_fn(move |request| handle(Rc::clone(&upstream), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            spawn_local(connection);
        }
    });
    Ok(())
}

async fn handle(upstream: Rc<Upstream>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let path = request.uri().path().to_owned();
    Ok(match (request.method(), path.as_str()) {
        (&Method::POST, "/faults") => inject(&upstream, request).await,
        (&Method::GET, "/runs") => json(StatusCode::OK, &*upstream.ledger.borrow()),
        (&Method::GET, "/orders") => json(StatusCode::OK, &upstream.orders.borrow().accepted),
        (&Method::GET, "/state") => state(&upstream),
        _ => refusal(StatusCode::NOT_FOUND, "not_found", "there is nothing at this path"),
    })
}

async fn inject(upstream: &Rc<Upstream>, request: Request<Incoming>) -> Answer {
    let body = http::body(request).await.unwrap_or_default();
    match serde_json::from_slice::<Fault>(&body) {
        Ok(fault) => {
            upstream.inject(&fault);
            json(StatusCode::OK, &json!({"injected": fault}))
        }
        Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_request", &error.to_string()),
    }
}

fn state(upstream: &Upstream) -> Answer {
    let batch = upstream.batch.borrow();
    let book = upstream.orders.borrow();
    let state = json!({
        "id": upstream.settings.id,
        "incarnation": upstream.incarnation.get(),
        "down": upstream.is_down(),
        "leaving": upstream.leaving.get(),
        "running": batch.running() as u32 + upstream.running_calls.get(),
        "waiting": batch.waiting(),
        "streams": upstream.streams.len(),
        "models": book.models,
        "role": book.role,
    });
    json(StatusCode::OK, &state)
}
