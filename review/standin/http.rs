//! A blocking HTTP/1.1 client with one connection for each call.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// An answer, as far as it arrived.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived as long as its head or its chunks say.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// A request to send.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, path: impl Into<String>) -> Request {
        Request { method, path: path.into(), ..Request::default() }
    }

    pub fn with_body(self, body: impl Into<Vec<u8>>) -> Request {
        Request { body: body.into(), ..self }
    }

    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Request {
        self.headers.push((name, value.into()));
        self
    }

    /// The request as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|it| it.0.eq_ignore_ascii_case("host")) {
            head.push_str("Host: medlarlug.example\r\n");
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads the complete answer within `limit`.
pub fn call(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Answer> {
    let latest = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(&request.encode())?;
    read_answer(&mut stream, latest, None)
}

/// Reads an answer until `latest`. With `pause`, waits that long before each part of the body.
pub fn read_answer(
    stream: &mut TcpStream,
    latest: Instant,
    pause: Option<Duration>,
) -> io::Result<Answer> {
    let mut buffer = Vec::new();
    let head_end = loop {
        if let Some(at) = find(&buffer, b"\r\n\r\n") {
            break at + 4;
        }
        if read_some(stream, &mut buffer, latest)? == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no answer"));
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no status"))?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let mut answer = Answer { status, headers, body: buffer.split_off(head_end), is_whole: false };
    let length = answer.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let is_chunked = answer.header("transfer-encoding").is_some();
    loop {
        let is_complete = match length {
            Some(length) => answer.body.len() >= length,
            None if is_chunked => find(&answer.body, b"\r\n0\r\n\r\n").is_some(),
            None => false,
        };
        if is_complete {
            answer.is_whole = true;
            return Ok(answer);
        }
        if let Some(pause) = pause {
            std::thread::sleep(pause);
        }
        match read_some(stream, &mut answer.body, latest) {
            Ok(0) => {
                answer.is_whole = length.is_none() && !is_chunked;
                return Ok(answer);
            }
            Ok(_) => {}
            Err(_) => return Ok(answer),
        }
    }
}

/// Most bytes that are read at once.
pub const PART_BYTES: usize = 8 * 1_024;

/// Reads up to [`PART_BYTES`] bytes.
fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>, latest: Instant) -> io::Result<usize> {
    let left = latest.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut part = [0; PART_BYTES];
    let bytes = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..bytes]);
    Ok(bytes)
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
