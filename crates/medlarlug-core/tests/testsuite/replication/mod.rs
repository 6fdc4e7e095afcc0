//! Seeded histories and focused failures of the replication core.

mod cluster;
mod failures;
mod histories;
mod history;
mod open;
