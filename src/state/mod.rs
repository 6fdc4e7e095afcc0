//! Durable state: the data folder, its journal and the thread that writes it.
//!
//! A [`DataFolder`] belongs to one instance and has a random storage id. Its [`Journal`] holds the
//! term, vote, entries and snapshot of every replication group of the process. The [`Writer`] takes
//! batches from the event loop and reports each one once it is synced.

mod error;
mod folder;
mod frame;
mod group;
mod journal;
mod saved;
mod writer;

pub use self::{
    error::{Operation, StateError},
    folder::DataFolder,
    group::GroupName,
    journal::{Batches, Groups, Journal},
    saved::SavedConfiguration,
    writer::{SyncResult, Synced, Writer},
};
