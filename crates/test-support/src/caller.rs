//! A caller that finds entry instances through their directory.

use std::{net::SocketAddr, time::Instant};

use serde_json::{Value, json};

use crate::deployment::{CALLER_KEY, CONDITION_TIMEOUT, Deployment};

/// How a request of a [`Caller`] ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with status 200 and this body.
    Answered(String),
    /// It was refused or failed, with this status and body.
    Refused(u16, String),
    /// The connection failed before the answer was complete, or no entry instance accepted the
    /// request; the text of the error.
    Disconnected(String),
}

/// A caller that fetches the directory of entry instances, and tries the next instance when one
/// is leaving or refuses the connection.
pub struct Caller {
    agent: ureq::Agent,
    entries: Vec<SocketAddr>,
    fetched_at: Option<Instant>,
    lifetime_seconds: u64,
    initial_entries: Vec<SocketAddr>,
}

impl Caller {
    /// A caller that starts with the addresses of all entry instances of the deployment.
    pub fn new(deployment: &Deployment) -> Caller {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(CONDITION_TIMEOUT))
            .build()
            .into();
        let entries = deployment.instances.iter().filter(|it| it.is_entry);
        let initial_entries = entries.map(|it| it.callers).collect();
        Caller {
            agent,
            entries: Vec::new(),
            fetched_at: None,
            lifetime_seconds: 0,
            initial_entries,
        }
    }

    /// Sends a completion request to the entry instances in turn until one accepts it.
    pub fn complete(&mut self, prompt: &str, tokens: usize, stream: bool) -> Outcome {
        let body = json!({
            "model": "medlar", "prompt": prompt, "max_tokens": tokens, "stream": stream
        });
        let body = body.to_string();
        let end = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < end {
            self.refresh();
            for address in self.entries.clone() {
                match self.send(address, &body) {
                    Some(outcome) => return outcome,
                    None => self.fetched_at = None,
                }
            }
        }
        Outcome::Disconnected("no entry instance accepted the request".into())
    }

    /// Sends a request to one instance. Returns `None` if the instance can't have started it.
    fn send(&self, address: SocketAddr, body: &str) -> Option<Outcome> {
        let request = self
            .agent
            .post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        let mut answer = match request.send(body) {
            Ok(answer) => answer,
            Err(error) if is_connection_refused(&error) => return None,
            Err(error) => return Some(Outcome::Disconnected(error.to_string())),
        };
        let status = answer.status().as_u16();
        let text = match answer.body_mut().read_to_string() {
            Ok(text) => text,
            Err(error) => return Some(Outcome::Disconnected(error.to_string())),
        };
        if status == 200 {
            return Some(Outcome::Answered(text));
        }
        let problem: Value = serde_json::from_str(&text).unwrap_or_default();
        match problem["type"] == "leaving" && problem["outcome"] == "not_run" {
            true => None,
            false => Some(Outcome::Refused(status, text)),
        }
    }

    /// Fetches the directory if the known one has expired.
    fn refresh(&mut self) {
        if self.fetched_at.is_some_and(|it| it.elapsed().as_secs() < self.lifetime_seconds) {
            return;
        }
        let known: Vec<SocketAddr> =
            self.entries.iter().chain(&self.initial_entries).copied().collect();
        for address in known {
            let request = self
                .agent
                .get(format!("http://{address}/v1/entries"))
                .header("authorization", format!("Bearer {CALLER_KEY}"));
            let Ok(mut answer) = request.call() else { continue };
            let document: Value = answer.body_mut().read_json().unwrap_or_default();
            let entries = directory_entries(&document);
            if !entries.is_empty() {
                self.lifetime_seconds = document["lifetime"].as_u64().unwrap_or(0);
                self.entries = entries;
                self.fetched_at = Some(Instant::now());
                return;
            }
        }
    }
}

/// The addresses that a directory document lists, in its order.
pub fn directory_entries(document: &Value) -> Vec<SocketAddr> {
    let listed = document["entries"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|it| it["address"].as_str()?.parse().ok()).collect()
}

fn is_connection_refused(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
