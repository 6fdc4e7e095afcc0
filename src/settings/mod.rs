//! Settings of every process: YAML, checked before anything starts.
