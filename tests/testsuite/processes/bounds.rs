//! Limits on the input and connections of callers, and authentication at each port.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use medlarlug_core::release::item::Residency;
use serde_json::json;
use test_support::deployment::{CALLER_KEY, CONDITION_TIMEOUT, Deployment, OPERATOR_KEY, call};

use crate::processes::fixture::{add_engines, items, two_regions};

/// A deployment with one engine and one service, whose entry instances have low limits.
fn deployment() -> Deployment {
    let mut deployment = add_engines(two_regions(), 1, 500).service("desk", "riga-a", "jobdesk");
    deployment.limits = "limits: { header_bytes: 8192, body_bytes: 2048, connections: 3, \
                         requests: 4, sender_seconds: 2, key_bytes: 16 }\n"
        .into();
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 2);
    deployment
}

fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a listening port");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a valid timeout");
    stream
}

/// Sends bytes and reads until the other side closes or sends nothing for [`CONDITION_TIMEOUT`].
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(address);
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn head(more: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CALLER_KEY}\r\n{more}\r\n"
    )
}

/// Asserts that the instance still serves requests and has not panicked.
fn assert_serves(deployment: &Deployment) {
    let reply = deployment.complete("entry-1", "medlar", "shift");
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert!(!deployment.log("entry-1").contains("panicked"));
}

#[test]
fn operators_body_beyond_its_bound_gets_a_typed_refusal() {
    let deployment = deployment();
    let operators = deployment.get("entry-1").operators;
    let key = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", key.as_str())];
    let put = |body: &str| call("PUT", operators, "/log-level", &headers, body);

    let long = put(&format!("{{ \"level\": \"info\" }}{}", " ".repeat(100_000)));
    let unknown = put("{ \"level\": \"chatty\" }");

    assert_eq!((long.status, &long.json["type"]), (413, &json!("body-too-long")), "{}", long.text);
    assert_eq!((unknown.status, &unknown.json["type"]), (400, &json!("no-level")));
}

#[test]
fn input_beyond_the_bounds_gets_a_typed_refusal() {
    let deployment = deployment();
    let callers = deployment.get("entry-1").callers;
    let post = |headers: &[(&str, &str)], body: &str| {
        deployment.caller_request("entry-1", "POST", "/v1/completions", headers, body)
    };
    let book = |key: &str| deployment.book("entry-1", key, "{}");

    let long_head = exchange(callers, head(&format!("x: {}\r\n", "a".repeat(20_000))).as_bytes());
    let slow_head = exchange(callers, b"POST /v1/completions HTTP/1.1\r\nhost: entry\r\n");
    let slow_body =
        exchange(callers, head("content-length: 100\r\nconnection: close\r\n").as_bytes());
    let long_body = post(&[], &"a".repeat(4_000));
    let no_json = post(&[], "{\"model\": ");
    let other_json = post(&[], "[1, 2]");
    let long_key = book(&"k".repeat(17));
    let empty_key = book("");
    let unknown_model = post(&[], &json!({ "model": "none", "prompt": "x" }).to_string());

    assert!(long_head.starts_with("HTTP/1.1 431"), "{long_head}");
    assert!(slow_head.starts_with("HTTP/1.1 408") || slow_head.is_empty(), "{slow_head}");
    assert!(slow_body.starts_with("HTTP/1.1 408"), "{slow_body}");
    let statuses = [&long_body, &no_json, &other_json, &long_key, &empty_key, &unknown_model];
    assert_eq!(statuses.map(|it| it.status), [413, 400, 400, 400, 400, 404]);
    for it in statuses {
        assert_eq!(it.json["outcome"], "not_run", "{}", it.text);
        assert!(it.json["type"].is_string() && it.json["title"].is_string(), "{}", it.text);
    }
    assert_serves(&deployment);
}

#[test]
fn bytes_that_are_not_http_do_no_harm() {
    let deployment = deployment();
    let callers = deployment.get("entry-1").callers;
    let internal = deployment.internal("entry-1");

    for bytes in
        [&b"\0\xff\x16\x03\x01 garbage\r\n\r\n"[..], b"GET", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"]
    {
        for address in [callers, internal] {
            exchange(address, bytes);
        }
    }

    assert_serves(&deployment);
}

#[test]
fn connection_carries_no_more_requests_than_permitted() {
    let deployment = deployment();
    let one = format!(
        "GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CALLER_KEY}\r\n\r\n"
    );

    let answers = exchange(deployment.get("entry-1").callers, one.repeat(10).as_bytes());

    assert_eq!(answers.matches("HTTP/1.1 200").count(), 4, "{answers}");
    assert!(answers.to_lowercase().contains("connection: close"), "{answers}");
    assert_serves(&deployment);
}

#[test]
fn connections_above_the_limit_are_closed_and_later_ones_accepted() {
    let deployment = deployment();
    let callers = deployment.get("entry-1").callers;
    // An answer shows that the instance has accepted the connection.
    let held: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut stream = open(callers);
            let request = "GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n";
            stream.write_all(request.as_bytes()).expect("an open connection");
            stream.read_exact(&mut [0; 12]).expect("an answer");
            stream
        })
        .collect();

    let beyond = exchange(callers, b"GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n");
    drop(held);

    assert!(!beyond.starts_with("HTTP/1.1 2") && !beyond.starts_with("HTTP/1.1 401"), "{beyond}");
    test_support::deployment::wait_for("room for a connection", || {
        deployment.complete("entry-1", "medlar", "shift").status == 200
    });
}

#[test]
fn internal_connections_are_not_bounded_by_the_limit_for_callers() {
    let deployment = deployment();
    let internal = deployment.internal("entry-1");
    let request = "POST /v1/announce HTTP/1.1\r\nhost: entry\r\ncontent-length: 0\r\n\r\n";

    // More than the three connections that callers may open.
    let held: Vec<(TcpStream, String)> = (0..8)
        .map(|_| {
            let mut stream = open(internal);
            let _ = stream.write_all(request.as_bytes());
            let mut status = [0; 12];
            let _ = stream.read_exact(&mut status);
            (stream, String::from_utf8_lossy(&status).into_owned())
        })
        .collect();

    for (_, status) in &held {
        assert_eq!(status, "HTTP/1.1 401");
    }
}

#[test]
fn keys_are_accepted_at_their_own_port_only() {
    let deployment = deployment();
    let instance = deployment.get("entry-1");
    let internal = deployment.internal("entry-1");
    let (caller, operator) = (format!("Bearer {CALLER_KEY}"), format!("Bearer {OPERATOR_KEY}"));
    let get = |address, path: &str, key: &str| {
        call("GET", address, path, &[("authorization", key)], "").status
    };
    let post = |address, path: &str, key: &str| {
        call("POST", address, path, &[("authorization", key)], "{}").status
    };

    assert_eq!(get(instance.callers, "/v1/models", "Bearer wrong"), 401);
    assert_eq!(get(instance.callers, "/v1/models", ""), 401);
    assert_eq!(get(instance.callers, "/v1/models", &operator), 401);
    assert_eq!(get(instance.callers, "/v1/models", &caller), 200);
    for path in ["/status", "/dump", "/upstreams", "/release", "/release/history"] {
        assert_eq!(get(instance.operators, path, &caller), 401, "{path}");
        assert_eq!(get(instance.operators, path, ""), 401, "{path}");
    }
    assert_eq!(post(instance.operators, "/release/apply", &caller), 401);
    assert_eq!(post(instance.operators, "/drain", &caller), 401);
    for path in ["/v1/announce", "/v1/forward"] {
        for key in [&caller, &operator] {
            assert_eq!(post(internal, path, key), 401, "{path}");
        }
    }
    assert_serves(&deployment);
}
