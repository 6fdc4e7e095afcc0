//! Generated streams, which can be read again from any event while they are kept.
//!
//! Event `n` carries token `n`; the event after the last token carries the reason of the end.
//! A stream that nobody reads is cancelled, and a finished one forgotten, after [`KEEP`].

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

/// Time for which a stream without a reader is kept.
pub const KEEP: Duration = Duration::from_secs(10);

/// Where the generation of a stream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It generates.
    Running,
    /// All tokens are there.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed before it got a slot.
    Expired,
}

/// One generated answer.
#[derive(Debug)]
pub struct Stream {
    /// The request.
    pub id: SmolStr,
    /// The model, as the request named it.
    pub model: SmolStr,
    /// Whether the answer is that of a chat.
    pub chat: bool,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The whole answer.
    pub answer: Answer,
    /// Latest time at which it may get a slot.
    pub deadline: Option<Instant>,
    produced: Cell<usize>,
    phase: Cell<Phase>,
    changed: Notify,
    readers: Cell<u32>,
    idle: Cell<Instant>,
}

impl Stream {
    /// A stream that waits for a slot.
    pub fn new(id: SmolStr, model: SmolStr, chat: bool, prompt: u64, answer: Answer) -> Self {
        Stream {
            id,
            model,
            chat,
            prompt,
            answer,
            deadline: None,
            produced: Cell::new(0),
            phase: Cell::new(Phase::Waiting),
            changed: Notify::new(),
            readers: Cell::new(0),
            idle: Cell::new(Instant::now()),
        }
    }

    /// Where its generation stands.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Moves it to `phase`, unless it has ended.
    pub fn enter(&self, phase: Phase) {
        if matches!(self.phase.get(), Phase::Waiting | Phase::Running) {
            self.phase.set(phase);
            self.idle.set(Instant::now());
            self.changed.notify_waiters();
        }
    }

    /// Generates one token; false when the answer is whole.
    pub fn advance(&self) -> bool {
        self.produced.set((self.produced.get() + 1).min(self.answer.len()));
        let is_whole = self.produced.get() == self.answer.len();
        if is_whole {
            self.enter(Phase::Finished);
        }
        self.changed.notify_waiters();
        !is_whole
    }

    /// Waits until event `n` is there; `None` when the stream ended before.
    pub async fn event(&self, n: usize) -> Option<Value> {
        loop {
            let changed = self.changed.notified();
            if n < self.produced.get() {
                return Some(self.chunk(n));
            }
            match self.phase.get() {
                Phase::Finished if n == self.answer.len() => return Some(self.chunk(n)),
                Phase::Finished | Phase::Cancelled | Phase::Expired => return None,
                Phase::Waiting | Phase::Running => changed.await,
            }
        }
    }

    /// Waits until it has a slot or has ended.
    pub async fn started(&self) -> Phase {
        loop {
            let changed = self.changed.notified();
            match self.phase.get() {
                Phase::Waiting => changed.await,
                phase => return phase,
            }
        }
    }

    /// Waits until it has ended.
    pub async fn ended(&self) -> Phase {
        loop {
            let changed = self.changed.notified();
            match self.phase.get() {
                Phase::Waiting | Phase::Running => changed.await,
                phase => return phase,
            }
        }
    }

    /// The whole answer as one JSON object.
    pub fn whole(&self) -> Value {
        let text = self.answer.text();
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "stop"})
        };
        let generated = self.answer.len() as u64;
        json!({
            "id": self.id,
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt,
                "completion_tokens": generated,
                "total_tokens": self.prompt + generated,
            },
        })
    }

    fn chunk(&self, n: usize) -> Value {
        let reason = if n == self.answer.len() { Some("stop") } else { None };
        let text = self.answer.token(n).unwrap_or_default();
        let choice = if self.chat {
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
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        self.readers.get() == 0 && now.saturating_duration_since(self.idle.get()) > KEEP
    }
}

/// Counts a reader of a stream while it lives.
#[derive(Debug)]
pub struct Reader(pub Rc<Stream>);

impl Reader {
    /// Begins to read `stream`.
    pub fn new(stream: Rc<Stream>) -> Reader {
        stream.readers.set(stream.readers.get() + 1);
        Reader(stream)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.set(self.0.readers.get() - 1);
        self.0.idle.set(Instant::now());
    }
}

/// The streams that are kept, by id; a tree for the same reason as the ledger's.
#[derive(Debug, Default)]
pub struct Streams(RefCell<BTreeMap<SmolStr, Rc<Stream>>>);

impl Streams {
    /// Keeps `stream` in the place of one with the same id.
    pub fn put(&self, stream: Rc<Stream>) {
        self.0.borrow_mut().insert(stream.id.clone(), stream);
    }

    /// The stream of this request.
    pub fn get(&self, id: &str) -> Option<Rc<Stream>> {
        self.0.borrow().get(id).cloned()
    }

    /// Cancels streams that nobody reads any more and forgets ended ones.
    pub fn sweep(&self, now: Instant) {
        self.0.borrow_mut().retain(|_, it| {
            let is_forgotten = it.is_forgotten(now);
            if is_forgotten {
                it.enter(Phase::Cancelled);
            }
            !is_forgotten
        });
    }

    /// Cancels and forgets all.
    pub fn clear(&self) {
        for it in self.0.take().into_values() {
            it.enter(Phase::Cancelled);
        }
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
