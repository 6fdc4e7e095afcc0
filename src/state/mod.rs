//! Durable state: the log, snapshots and the data folder.
