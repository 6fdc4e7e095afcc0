//! The fields of an inference request that decisions need.
//!
//! The body passes through unchanged; only these fields are read. A model is asked for by its id,
//! or as `model:adapter`.

use medlarlug_core::{
    fingerprint::{Fingerprint, prefixes},
    ids::{AdapterId, IdError, ModelId},
    units::Tokens,
};
use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error;

/// Bytes of text that one token stands for, on average.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens that an answer has when the caller sets no bound.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Why a body is no inference request.
#[derive(Debug, Error)]
pub enum InferenceError {
    /// It is no JSON object with the fields that are needed.
    #[error("the body is no inference request: {0}")]
    Json(#[from] serde_json::Error),
    /// The model's name is no id.
    #[error("the field `model` names no model: {0}")]
    Model(#[from] IdError),
    /// It has neither messages nor a prompt.
    #[error("the body has neither `messages` nor `prompt`")]
    NoPrompt,
}

/// What decisions need to know of an inference request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InferenceParams {
    /// The model.
    pub model: ModelId,
    /// The adapter that is asked for beside it.
    pub adapter: Option<AdapterId>,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Longest answer.
    pub max_answer_tokens: Tokens,
    /// Fingerprints of the prompt's prefixes.
    pub prefixes: Vec<Fingerprint>,
}

#[derive(Deserialize)]
struct RawHead {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<RawMessage>,
    prompt: Option<String>,
}

#[derive(Deserialize)]
struct RawMessage {
    #[serde(default)]
    role: String,
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    #[serde(default)]
    text: String,
}

impl InferenceParams {
    /// Reads the fields out of a JSON body.
    ///
    /// ```
    /// use medlarlug::protocol::inference::InferenceParams;
    ///
    /// let body = br#"{"model": "net-scribe", "prompt": "mesh sizes", "max_tokens": 9}"#;
    /// let head = InferenceParams::parse(body).unwrap();
    /// assert_eq!(head.model.as_str(), "net-scribe");
    /// assert_eq!(head.max_answer_tokens.0, 9);
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when the body is no JSON object, names no model or has no prompt.
    pub fn parse(body: &[u8]) -> Result<InferenceParams, InferenceError> {
        let raw: RawHead = serde_json::from_slice(body)?;
        let (model, adapter) = match raw.model.split_once(':') {
            Some((model, adapter)) => (model.parse()?, Some(adapter.parse()?)),
            None => (raw.model.parse()?, None),
        };
        let text = prompt_text(&raw).ok_or(InferenceError::NoPrompt)?;
        let answer = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(InferenceParams {
            model,
            adapter,
            stream: raw.stream,
            prompt_tokens: Tokens(text.len() as u64 / BYTES_PER_TOKEN + 1),
            max_answer_tokens: Tokens(answer.unwrap_or(DEFAULT_ANSWER_TOKENS)),
            prefixes: prefixes(&text),
        })
    }
}

/// The prompt as one text: every message's role and content on a line of its own.
fn prompt_text(raw: &RawHead) -> Option<String> {
    if let Some(prompt) = &raw.prompt {
        return Some(prompt.clone());
    }
    if raw.messages.is_empty() {
        return None;
    }
    let mut text = String::new();
    for message in &raw.messages {
        text.push_str(&message.role);
        text.push('\n');
        match &message.content {
            Some(RawContent::Text(content)) => text.push_str(content),
            Some(RawContent::Parts(parts)) => parts.iter().for_each(|it| text.push_str(&it.text)),
            None => {}
        }
        text.push('\n');
    }
    Some(text)
}
