//! A gateway for anonymous callers, whose processes discover each other from a few contact
//! addresses.
//!
//! There are two kinds of process. *Keepers* replicate the route table and the evacuated
//! availability zones, receive the announcements of upstreams, and tell callers which entry
//! instances to use. *Entry instances* accept calls and relay them to upstreams of their region, or
//! to an entry instance of another region.
//!
//! Every process opens a [`link`] to every keeper that it knows. The keeper sends [`link::Update`]
//! messages over it: changed upstreams, the version of the table, evacuated zones, and the
//! instances of the deployment. An entry instance thus receives updates from every keeper that it
//! can reach, and keeps working with any one of them.
//!
//! The decisions are made by [`medlarlug_core::gateway`]; this crate does the I/O. Header names and
//! the document format belong to the embedding program: it passes [`headers::HeaderNames`] and the
//! function that parses tables in [`settings::NodeSettings`].

pub mod entry;
pub mod headers;
pub mod keeper;
pub mod link;
pub mod metrics;
pub mod packed;
pub mod settings;

mod keeper_links;
mod load_exchange;

mod subscribers;
