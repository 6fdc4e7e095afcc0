//! The HTTP client for upstreams and other instances: what is sent over a new connection.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use medlarlug::transport::{
    answers::AnswerReader,
    http_client::{CallLimits, HttpCallError, HttpClient, Reuse, holds_connection},
    memory::Memory,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::LocalSet,
    time::timeout,
};

const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(5), head: Duration::from_secs(5) };

/// Runs a test on a single-threaded runtime of its own, as the processes do.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn request() -> Request<Full<Bytes>> {
    Request::builder().uri("/a").header("host", "engine").body(Full::default()).unwrap()
}

#[test]
fn request_withdrawn_before_its_connection_opens_is_not_sent() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = HttpClient::default();
        let call = client.call_if_wanted(address, request(), Reuse::Never, LIMITS, || false);

        let (called, accepted) = tokio::join!(call, listener.accept());

        let error = called.err().unwrap();
        assert_matches!(error, HttpCallError::Withdrawn { .. });
        assert!(error.is_unsent());
        let mut bytes = Vec::new();
        accepted.unwrap().0.read_to_end(&mut bytes).await.unwrap();
        assert_eq!(bytes, b"");
    });
}

const CONNECT: Duration = Duration::from_millis(300);
const HOLD: Duration = Duration::from_millis(50);

#[test]
fn connection_that_stays_open_is_held() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();

        assert!(holds_connection(listener.local_addr().unwrap(), CONNECT, HOLD).await);
    });
}

#[test]
fn connection_that_is_closed_at_once_is_not_held() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let close = async { drop(listener.accept().await) };

        let (is_held, ()) = tokio::join!(holds_connection(address, CONNECT, HOLD), close);

        assert!(!is_held);
    });
}

#[test]
fn connection_that_is_refused_is_not_held() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);

        assert!(!holds_connection(address, CONNECT, HOLD).await);
    });
}

/// The queue of the listener is full, so that the system drops further connections as a partition does.
#[test]
fn connection_that_hangs_is_not_held() {
    run(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(address)).await {
            waiting.push(stream);
        }

        assert!(!holds_connection(address, CONNECT, HOLD).await);
    });
}

/// Calls a server that sends this many informational heads before its answer.
async fn call_with_informational_heads(heads: usize) -> Result<(), HttpCallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async {
        let mut stream = listener.accept().await.unwrap().0;
        let informational = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(heads);
        let answer = format!("{informational}HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        // Fails if the client has closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        stream
    };
    let client = HttpClient::default();
    let call = client.call(address, request(), Reuse::Never, LIMITS);
    let (called, _stream) = tokio::join!(call, serve);
    called.map(|_| ())
}

#[test]
fn answer_after_some_informational_heads_is_received() {
    run(async {
        assert_matches!(call_with_informational_heads(10).await, Ok(()));
    });
}

/// Parsing thousands of informational heads on many connections stopped the process for seconds.
#[test]
fn connection_with_too_many_informational_heads_is_closed() {
    run(async {
        let called = call_with_informational_heads(2_000).await;

        assert_matches!(called, Err(HttpCallError::Lost { .. }));
    });
}

/// An answer that only the end of its connection ends, while much of the request is unwritten.
#[test]
fn answer_that_ends_before_its_request_is_written_is_cut() {
    run(async {
        for (bytes, expected) in [(64 << 20, true), (0, false)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let serve = async {
                let mut stream = listener.accept().await.unwrap().0;
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\na part").await.unwrap();
                stream.shutdown().await.unwrap();
                stream
            };
            let body = Full::new(Bytes::from(vec![b'u'; bytes]));
            let request = Request::post("/a").header("host", "engine").body(body).unwrap();
            let client = HttpClient::default();

            let call = client.call(address, request, Reuse::Never, LIMITS);
            let (called, _stream) = tokio::join!(call, serve);
            let (answer, connection) = called.unwrap();
            let (head, body) = answer.into_parts();
            let read = AnswerReader::new(Memory::unlimited(), 1).read(body, 100, LIMITS.head).await;

            assert!(
                read.is_err() || connection.has_cut(&head.headers) == expected,
                "{bytes} bytes"
            );
            assert!(expected || read.is_ok(), "{bytes} bytes");
        }
    });
}
