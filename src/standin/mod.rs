//! An emulator of upstreams: a model engine and a plain service.
//!
//! One process runs all upstreams that its settings list, on one thread. Each upstream has two
//! ports: its own, at which it takes requests and orders as a real one would, and a control port,
//! at which tests inject faults and read what ran.
//!
//! An engine answers the usual JSON of chat completions, deterministically: the answer depends on
//! the prompt alone, so a test computes it with [`answer::expected`]. It batches continuously
//! ([`batch`]), keeps prompt prefixes in a bounded cache ([`cache`]) and lets streams be resumed
//! and cancelled ([`streams`]). A plain service counts the runs of each idempotency key
//! ([`service`]). Both announce themselves with a lagging load report ([`announcer`]).
//!
//! Requests to an engine may carry `x-request-id`, `x-deadline-ms` and `x-priority`; every answer
//! echoes the request id. A refusal whose JSON has the error code `not_started` was not begun.
//!
//! | control port | answer |
//! | --- | --- |
//! | `POST /faults` | injects a [`faults::Fault`] |
//! | `GET /runs` | how often each key ran |
//! | `GET /orders` | orders that were taken, in turn |
//! | `GET /state` | load, loaded models and open streams |

pub mod announcer;
pub mod answer;
pub mod batch;
pub mod cache;
mod completions;
mod connection;
mod control;
pub mod faults;
mod http;
pub mod ledger;
pub mod orders;
pub mod process;
pub mod service;
pub mod streams;
mod upstream;

pub use process::run;

/// A prompt that holds this text crashes an engine whose settings allow it.
pub const CRASH_MARKER: &str = "CRASH-ME";
