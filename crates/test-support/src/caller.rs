//! A caller that follows the directory of entry instances.

use std::{net::SocketAddr, time::Instant};

use serde_json::{Value, json};

use crate::deployment::{CALLER_KEY, CONDITION_TIMEOUT, Deployment};

/// How a request of a [`Caller`] ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with this body.
    Answered(String),
    /// It was refused, or failed, with this status and body.
    Refused(u16, String),
    /// Its connection broke before the whole answer.
    Disconnected(String),
}

/// A caller that asks where to send its requests, and goes on to the next entry instance when one
/// is leaving or does not listen.
pub struct Caller {
    agent: ureq::Agent,
    entries: Vec<SocketAddr>,
    asked: Option<Instant>,
    lifetime: u64,
    start: Vec<SocketAddr>,
}

impl Caller {
    /// A caller that knows the addresses of the deployment's entry instances.
    pub fn new(deployment: &Deployment) -> Caller {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(CONDITION_TIMEOUT))
            .build()
            .into();
        let entries = deployment.instances.iter().filter(|it| it.is_entry);
        let start = entries.map(|it| it.callers).collect();
        Caller { agent, entries: Vec::new(), asked: None, lifetime: 0, start }
    }

    /// Sends a completion until an instance takes it in.
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
                    None => self.asked = None,
                }
            }
        }
        Outcome::Disconnected("no instance takes the request in".into())
    }

    /// Sends a request to one instance; `None` if that one can't have begun it.
    fn send(&self, address: SocketAddr, body: &str) -> Option<Outcome> {
        let request = self
            .agent
            .post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        let mut answer = match request.send(body) {
            Ok(answer) => answer,
            Err(error) if is_refused(&error) => return None,
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

    /// Asks for the directory when the known one has run out.
    fn refresh(&mut self) {
        if self.asked.is_some_and(|it| it.elapsed().as_secs() < self.lifetime) {
            return;
        }
        let known: Vec<SocketAddr> = self.entries.iter().chain(&self.start).copied().collect();
        for address in known {
            let request = self
                .agent
                .get(format!("http://{address}/v1/entries"))
                .header("authorization", format!("Bearer {CALLER_KEY}"));
            let Ok(mut answer) = request.call() else { continue };
            let document: Value = answer.body_mut().read_json().unwrap_or_default();
            let entries = directory_entries(&document);
            if !entries.is_empty() {
                self.lifetime = document["lifetime"].as_u64().unwrap_or(0);
                self.entries = entries;
                self.asked = Some(Instant::now());
                return;
            }
        }
    }
}

/// The addresses that a directory lists, in order.
pub fn directory_entries(document: &Value) -> Vec<SocketAddr> {
    let listed = document["entries"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|it| it["address"].as_str()?.parse().ok()).collect()
}

fn is_refused(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
