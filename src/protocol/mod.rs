//! Typed messages between processes, their codec, and the JSON of the HTTP interfaces.
