//! Durable state: the data folder, its journal and the thread that writes it.
//!
//! A [`DataFolder`] names the instance that owns it and the storage that it is. Its [`Journal`]
//! holds, for every replication group of the process, term, vote, entries and snapshot. The
//! [`Writer`] takes batches from the process's loop and reports each once it is synced.

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
