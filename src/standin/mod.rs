//! An emulator of upstreams: a model engine and a plain service.

/// A prompt that holds this text crashes an engine whose settings allow it.
pub const CRASH_MARKER: &str = "CRASH-ME";
