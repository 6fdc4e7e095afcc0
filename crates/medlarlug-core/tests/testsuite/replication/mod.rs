//! Replication core: randomised histories from seeds, and tests of single failures.

mod cluster;
mod failures;
mod histories;
mod history;
mod open;
