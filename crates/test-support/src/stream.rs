//! A caller that reads streamed answers.

use std::io::{BufRead, BufReader, Read};

use serde_json::{Value, json};

use crate::deployment::{CALLER_KEY, CONDITION_TIMEOUT, Deployment};

/// A streamed answer that is being read.
pub struct OpenStream {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Value of the header `x-request-id`; empty if there was none.
    pub request_id: String,
    reader: Option<Box<dyn BufRead + Send>>,
    text: String,
}

/// How a streamed answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// It ended with the event `[DONE]`.
    Complete,
    /// It was refused, or ended with an error event; the text of the refusal or event.
    Failed(String),
    /// It ended without a terminal or an error event, or there was no answer.
    Truncated,
}

/// A streamed answer that was read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamedAnswer {
    /// Value of the header `x-request-id`.
    pub request_id: String,
    /// Text of all chunks that were read, also of an answer that failed or was truncated.
    pub text: String,
    /// The way in which it ended.
    pub ending: Ending,
}

impl Deployment {
    /// Requests a streamed completion from an entry instance. Returns after the head of the answer.
    pub fn open_stream(&self, id: &str, prompt: &str, tokens: usize) -> OpenStream {
        let body = json!({
            "model": "medlar", "prompt": prompt, "max_tokens": tokens, "stream": true
        });
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CONDITION_TIMEOUT))
            .build()
            .into();
        let url = format!("http://{}/v1/completions", self.get(id).callers);
        let response = agent
            .post(url)
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .send(body.to_string());
        let Ok(answer) = response else {
            return OpenStream {
                status: 0,
                request_id: String::new(),
                reader: None,
                text: String::new(),
            };
        };
        let status = answer.status().as_u16();
        let request_id = answer.headers().get("x-request-id").and_then(|it| it.to_str().ok());
        let request_id = request_id.unwrap_or_default().to_owned();
        let reader = BufReader::new(answer.into_body().into_reader());
        OpenStream { status, request_id, reader: Some(Box::new(reader)), text: String::new() }
    }

    /// Requests a streamed completion and reads it to its end.
    pub fn stream(&self, id: &str, prompt: &str, tokens: usize) -> StreamedAnswer {
        self.open_stream(id, prompt, tokens).finish()
    }
}

impl OpenStream {
    /// Reads the next `count` events, or fewer if the stream ends before.
    pub fn read_tokens(&mut self, count: usize) {
        for _ in 0..count {
            if self.read_event().is_some() {
                return;
            }
        }
    }

    /// Reads the rest of the stream.
    pub fn finish(mut self) -> StreamedAnswer {
        let ending = match self.status {
            0 => Ending::Truncated,
            200 => loop {
                if let Some(ending) = self.read_event() {
                    break ending;
                }
            },
            _ => {
                let mut text = String::new();
                let reader = self.reader.as_mut().expect("an answer");
                let _ = reader.read_to_string(&mut text);
                Ending::Failed(text)
            }
        };
        StreamedAnswer { request_id: self.request_id, text: self.text, ending }
    }

    /// Reads one `data` line. Returns the ending if it was the last one.
    fn read_event(&mut self) -> Option<Ending> {
        let reader = self.reader.as_mut()?;
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) | Err(_) => return Some(Ending::Truncated),
                Ok(_) => {}
            }
            let Some(data) = line.trim().strip_prefix("data:") else { continue };
            if data.trim() == "[DONE]" {
                return Some(Ending::Complete);
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            if !chunk["error"].is_null() {
                return Some(Ending::Failed(data.to_owned()));
            }
            self.text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
            return None;
        }
    }
}
