//! The fields of an inference request that routing needs.
//!
//! The body is forwarded unchanged; only these fields are read. A request names its model as
//! `model` or `model:adapter`.

use medlarlug_core::{
    fingerprint::{Fingerprint, prefixes},
    ids::{AdapterId, IdError, ModelId},
    units::Tokens,
};
use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error;

/// Average length of a token; used to estimate the number of prompt tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// Assumed length of the answer when the caller sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Why a body is not a valid inference request.
#[derive(Debug, Error)]
pub enum InferenceError {
    /// The body is not a JSON object with the required fields.
    #[error("the body is no inference request: {0}")]
    Json(#[from] serde_json::Error),
    /// The model or adapter is not a valid id.
    #[error("the field `model` names no model: {0}")]
    Model(#[from] IdError),
    /// The body has neither messages nor a prompt.
    #[error("the body has neither `messages` nor `prompt`")]
    NoPrompt,
}

/// The parameters of an inference request that routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InferenceParams {
    /// Model named by the field `model`, without the adapter after the colon.
    pub model: ModelId,
    /// The requested adapter of the model, if any.
    pub adapter: Option<AdapterId>,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have; the assumed length if the caller sets no limit.
    pub answer_tokens: Tokens,
    /// Fingerprints of the prompt's prefixes.
    pub prefixes: Vec<Fingerprint>,
    /// Fingerprints of the texts that other requests may hold as well: those of all messages but the
    /// last text, which is the caller's own question.
    pub shared_parts: Vec<Fingerprint>,
}

// Errors for a body that is not an object contain the name of this type; callers receive them.
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

impl RawMessage {
    /// The texts of the message, in order.
    fn texts(&self) -> impl Iterator<Item = &str> {
        let (text, parts) = match &self.content {
            Some(RawContent::Text(text)) => (Some(text.as_str()), &[][..]),
            Some(RawContent::Parts(parts)) => (None, &parts[..]),
            None => (None, &[][..]),
        };
        text.into_iter().chain(parts.iter().map(|it| it.text.as_str()))
    }
}

impl InferenceParams {
    /// Parses a JSON body.
    ///
    /// ```
    /// use medlarlug::protocol::inference::InferenceParams;
    ///
    /// let body = br#"{"model": "net-scribe", "prompt": "mesh sizes", "max_tokens": 9}"#;
    /// let params = InferenceParams::parse(body).unwrap();
    /// assert_eq!(params.model.as_str(), "net-scribe");
    /// assert_eq!(params.answer_tokens.0, 9);
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when the body is not a JSON object, has no valid model name or has no prompt.
    pub fn parse(body: &[u8]) -> Result<InferenceParams, InferenceError> {
        let raw: RawHead = serde_json::from_slice(body)?;
        let (model, adapter) = match raw.model.split_once(':') {
            Some((model, adapter)) => (model.parse()?, Some(adapter.parse()?)),
            None => (raw.model.parse()?, None),
        };
        let text = prompt_text(&raw).ok_or(InferenceError::NoPrompt)?;
        let answer_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(InferenceParams {
            model,
            adapter,
            stream: raw.stream,
            prompt_tokens: Tokens(text.len() as u64 / BYTES_PER_TOKEN + 1),
            answer_tokens: Tokens(answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS)),
            prefixes: prefixes(&text),
            shared_parts: shared_parts(&raw.messages),
        })
    }
}

/// The prompt as one text: the role and the content of every message, each on a line of its own.
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
        message.texts().for_each(|it| text.push_str(it));
        text.push('\n');
    }
    Some(text)
}

/// Fingerprints of the texts of all messages but the last text, each with the role of its message.
fn shared_parts(messages: &[RawMessage]) -> Vec<Fingerprint> {
    let texts = messages.iter().flat_map(|it| it.texts().map(|text| (it.role.as_str(), text)));
    let mut parts: Vec<Fingerprint> =
        texts.map(|(role, text)| Fingerprint::of(format!("{role}\n{text}").as_bytes())).collect();
    parts.pop();
    parts
}
