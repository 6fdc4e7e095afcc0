//! An emulator of upstreams: a model engine and a plain service.
