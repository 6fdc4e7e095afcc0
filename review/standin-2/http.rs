//! HTTP/1.1 messages over blocking sockets, as far as the cases need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_whole: bool,
    /// When the first byte of the body arrived.
    pub first_byte: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the connection ends first.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut message = Message { first_line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().into(), value.trim().into()));
            }
        }
    }

    /// Reads the body that follows a head. `is_answer` tells whether a body without a length ends with
    /// the connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|it| it.to_lowercase() == "chunked");
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        let result = match (is_chunked, length) {
            (true, _) => self.chunks(message),
            (false, Some(length)) => self.exactly(message, length),
            (false, None) if is_answer && message.status() != 204 => self.to_end(message),
            (false, None) => Ok(true),
        };
        message.is_whole = result.unwrap_or(false);
    }

    fn exactly(&mut self, message: &mut Message, length: usize) -> io::Result<bool> {
        let end = message.body.len() + length;
        while message.body.len() < end {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Ok(false);
            }
            message.first_byte.get_or_insert_with(Instant::now);
            let count = self.buffer.len().min(end - message.body.len());
            message.body.extend(self.buffer.drain(..count));
        }
        Ok(true)
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(false) };
            if size > 0 && !self.exactly(message, size)? {
                return Ok(false);
            }
            if self.line()?.is_none() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }

    fn to_end(&mut self, message: &mut Message) -> io::Result<bool> {
        loop {
            if !self.buffer.is_empty() {
                message.first_byte.get_or_insert_with(Instant::now);
                message.body.append(&mut self.buffer);
            }
            if self.fill()? == 0 {
                return Ok(true);
            }
        }
    }
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    Answer(Message),
    /// No connection could be opened.
    Unreachable,
    /// The connection ended, or the time was up, before the head of an answer.
    NoAnswer,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(answer) => answer.status(),
            Outcome::Unreachable | Outcome::NoAnswer => 0,
        }
    }

    /// Whether a whole answer with status 2xx arrived.
    pub fn is_served(&self) -> bool {
        matches!(self, Outcome::Answer(it) if it.is_whole && (200..300).contains(&it.status()))
    }

    /// Whether a part of the body of an answer with status 2xx arrived.
    pub fn has_begun(&self) -> bool {
        matches!(self, Outcome::Answer(it)
            if it.first_byte.is_some() && (200..300).contains(&it.status()))
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Outcome::Unreachable;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Outcome::NoAnswer;
    }
    let mut reader = Reader::new(stream);
    match reader.head() {
        Ok(Some(mut answer)) => {
            reader.body(&mut answer, true);
            Outcome::Answer(answer)
        }
        _ => Outcome::NoAnswer,
    }
}
