//! Deterministic answers of engines.

use smol_str::{SmolStr, format_smolstr};

/// Tokens of an answer when the request sets no limit.
pub const DEFAULT_TOKENS: usize = 32;

/// Most tokens of an answer, whatever the request permits.
pub const MAX_TOKENS: usize = 65_536;

/// Length of a prompt that counts as one token.
pub const BYTES_PER_TOKEN: usize = 4;

const WORDS: [&str; 16] = [
    "datum", "shift", "north", "east", "grid", "mesh", "twine", "knot", "stone", "point", "net",
    "row", "bay", "repair", "scale", "angle",
];

/// The answer of an engine to a prompt; the text of a token is generated when it is read.
#[derive(Debug)]
pub struct Answer(Vec<u8>);

impl Answer {
    /// The answer to `prompt`, which depends on the prompt and `max_tokens` alone.
    pub fn new(prompt: &str, max_tokens: Option<usize>) -> Answer {
        let count = max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        let mut stream = blake3::Hasher::new().update(prompt.as_bytes()).finalize_xof();
        let mut bytes = vec![0; count];
        stream.fill(&mut bytes);
        Answer(bytes)
    }

    /// Number of tokens.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the answer has no tokens.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Text of token `n`, which ends with a space; `None` after the last token.
    pub fn token(&self, n: usize) -> Option<SmolStr> {
        let byte = self.0.get(n)?;
        let word = WORDS[usize::from(byte % 16)];
        Some(format_smolstr!("{word}{} ", byte / 16))
    }

    /// The text of all tokens.
    pub fn text(&self) -> String {
        (0..self.len()).filter_map(|n| self.token(n)).fold(String::new(), |text, it| text + &it)
    }
}

/// The complete text with which an engine answers `prompt`.
///
/// ```
/// use medlarlug::standin::answer::expected;
///
/// let text = expected("explain the shift", Some(3));
/// assert_eq!(text.split_whitespace().count(), 3);
/// assert_ne!(text, expected("another prompt", Some(3)));
/// ```
pub fn expected(prompt: &str, max_tokens: Option<usize>) -> String {
    Answer::new(prompt, max_tokens).text()
}

/// The prompt for a chat, given as pairs of role and content: each on a line of its own, which is the
/// text from which the gateway computes prefix fingerprints.
///
/// ```
/// use medlarlug::standin::answer::chat_prompt;
///
/// assert_eq!(chat_prompt(&[("user", "hello")]), "user\nhello\n");
/// ```
pub fn chat_prompt(messages: &[(&str, &str)]) -> String {
    messages.iter().map(|(role, content)| format!("{role}\n{content}\n")).collect()
}

/// Number of tokens of a prompt, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}
