//! The stand-in: an emulator of upstreams, which are model engines and plain services.
//!
//! One process runs all upstreams that its settings list, on one thread. Each upstream has two
//! ports: one for requests and orders, like a real upstream, and a control port, through which tests
//! inject faults and read what ran.
//!
//! An engine implements the usual JSON API of chat completions. Its answers are deterministic: they
//! depend only on the prompt and the limit of tokens, so a test computes them with
//! [`answer::expected`]. An engine uses continuous batching ([`batch`]), keeps prompt prefixes in a
//! bounded cache ([`cache`]) and supports resuming and cancelling of streams ([`streams`]). A plain
//! service counts the runs of each idempotency key ([`service`]). Both send announcements with a
//! delayed load report ([`announcer`]).
//!
//! Requests to an engine may have the headers `x-request-id`, `x-deadline-ms` and `x-priority`; every
//! answer returns the request id. A request that is refused with the error code `not_started` did not
//! start.
//!
//! | control port | effect or answer |
//! | --- | --- |
//! | `POST /faults` | injects a [`faults::Fault`] |
//! | `GET /runs` | how often each key ran |
//! | `GET /orders` | accepted orders, in order of arrival |
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

/// A prompt that contains this text crashes an engine whose settings have `crash_marker: true`.
pub const CRASH_MARKER: &str = "CRASH-ME";
/// A prompt that contains this text crashes such an engine while it writes the answer.
pub const LATE_CRASH_MARKER: &str = "CRASH-LATER";
