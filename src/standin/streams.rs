//! Generated streams, which can be read again from any event while they are retained.
//!
//! Event `n` contains token `n`; the event after the last token contains the finish reason. A stream
//! without a reader is cancelled and removed after [`RETENTION`].

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::{sync::Notify, time::Instant};

use crate::standin::answer::Answer;

/// Time for which a stream without a reader is retained.
pub const RETENTION: Duration = Duration::from_secs(10);

/// State of the generation of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The stream waits for a slot.
    Waiting,
    /// The stream has a slot and generates tokens.
    Running,
    /// All tokens were generated.
    Finished,
    /// A client's request or the removal of the stream ended the generation.
    Cancelled,
    /// The deadline passed before the stream got a slot.
    Expired,
}

/// One generated answer.
#[derive(Debug)]
pub struct Stream {
    /// Id under which the answer is sent: that of the request, unless a fault misdelivers the answer.
    pub id: SmolStr,
    /// The model, as the request named it.
    pub model: SmolStr,
    /// Whether the answer has the format of chat completions.
    pub is_chat: bool,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The complete answer, including tokens not generated yet.
    pub answer: Answer,
    /// Latest time at which it may get a slot.
    pub deadline: Option<Instant>,
    produced_tokens: Cell<usize>,
    phase: Cell<Phase>,
    changed: Notify,
    readers: Cell<u32>,
    /// Time of the last change of the phase or end of a reader.
    idle_since: Cell<Instant>,
}

impl Stream {
    /// A stream that waits for a slot.
    pub fn new(
        id: SmolStr,
        model: SmolStr,
        is_chat: bool,
        prompt_tokens: u64,
        answer: Answer,
    ) -> Self {
        Stream {
            id,
            model,
            is_chat,
            prompt_tokens,
            answer,
            deadline: None,
            produced_tokens: Cell::new(0),
            phase: Cell::new(Phase::Waiting),
            changed: Notify::new(),
            readers: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
        }
    }

    /// State of the generation.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Changes the phase, unless the stream has ended.
    pub fn set_phase(&self, phase: Phase) {
        if matches!(self.phase.get(), Phase::Waiting | Phase::Running) {
            self.phase.set(phase);
            self.idle_since.set(Instant::now());
            self.changed.notify_waiters();
        }
    }

    /// Generates one token; returns false once the answer is complete.
    pub fn generate_token(&self) -> bool {
        self.produced_tokens.set((self.produced_tokens.get() + 1).min(self.answer.len()));
        let is_complete = self.produced_tokens.get() == self.answer.len();
        if is_complete {
            self.set_phase(Phase::Finished);
        }
        self.changed.notify_waiters();
        !is_complete
    }

    /// Waits for event `n`; `None` if the stream ends before it.
    pub async fn event(&self, n: usize) -> Option<Value> {
        loop {
            let changed = self.changed.notified();
            if n < self.produced_tokens.get() {
                return Some(self.chunk(n));
            }
            match self.phase.get() {
                Phase::Finished if n == self.answer.len() => return Some(self.chunk(n)),
                Phase::Finished | Phase::Cancelled | Phase::Expired => return None,
                Phase::Waiting | Phase::Running => changed.await,
            }
        }
    }

    /// Waits until the stream has a slot or has ended; returns its phase.
    pub async fn wait_started(&self) -> Phase {
        loop {
            let changed = self.changed.notified();
            match self.phase.get() {
                Phase::Waiting => changed.await,
                phase => return phase,
            }
        }
    }

    /// Waits until the stream has ended; returns its phase.
    pub async fn wait_ended(&self) -> Phase {
        loop {
            let changed = self.changed.notified();
            match self.phase.get() {
                Phase::Waiting | Phase::Running => changed.await,
                phase => return phase,
            }
        }
    }

    /// The complete answer as one JSON object.
    pub fn complete_answer(&self) -> Value {
        let text = self.answer.text();
        let choice = if self.is_chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "stop"})
        };
        let generated_tokens = self.answer.len() as u64;
        json!({
            "id": self.id,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": generated_tokens,
                "total_tokens": self.prompt_tokens + generated_tokens,
            },
        })
    }

    fn chunk(&self, n: usize) -> Value {
        let reason = if n == self.answer.len() { Some("stop") } else { None };
        let text = self.answer.token(n).unwrap_or_default();
        let choice = if self.is_chat {
            let delta = match (n, reason) {
                (_, Some(_)) => json!({}),
                (0, None) => json!({"role": "assistant", "content": text}),
                _ => json!({"content": text}),
            };
            json!({"index": 0, "delta": delta, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": reason})
        };
        json!({
            "id": self.id,
            "object": if self.is_chat { "chat.completion.chunk" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn is_past_retention(&self, now: Instant) -> bool {
        self.readers.get() == 0 && now.saturating_duration_since(self.idle_since.get()) > RETENTION
    }
}

/// A reader of a stream; the stream is not removed while it has readers.
#[derive(Debug)]
pub struct Reader(pub Rc<Stream>);

impl Reader {
    /// Registers a reader of `stream`.
    pub fn new(stream: Rc<Stream>) -> Reader {
        stream.readers.set(stream.readers.get() + 1);
        Reader(stream)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.set(self.0.readers.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// The retained streams by id, in a tree for the same reason as in [`Ledger`](super::ledger::Ledger).
#[derive(Debug, Default)]
pub struct Streams(RefCell<BTreeMap<SmolStr, Rc<Stream>>>);

impl Streams {
    /// Adds `stream`; replaces one with the same id.
    pub fn insert(&self, stream: Rc<Stream>) {
        self.0.borrow_mut().insert(stream.id.clone(), stream);
    }

    /// The stream with this id, if it is retained.
    pub fn get(&self, id: &str) -> Option<Rc<Stream>> {
        self.0.borrow().get(id).cloned()
    }

    /// Cancels and removes streams that have had no reader for [`RETENTION`].
    pub fn remove_unread(&self, now: Instant) {
        self.0.borrow_mut().retain(|_, it| {
            let is_past_retention = it.is_past_retention(now);
            if is_past_retention {
                it.set_phase(Phase::Cancelled);
            }
            !is_past_retention
        });
    }

    /// Cancels and removes all streams.
    pub fn clear(&self) {
        for it in self.0.take().into_values() {
            it.set_phase(Phase::Cancelled);
        }
    }

    /// Number of retained streams.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether no stream is retained.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
