//! A gateway for anonymous callers, whose processes find each other from a few contact addresses.
//!
//! Two kinds of process make it up. *Keepers* replicate the route table and the evacuated
//! availability zones, take the announcements of upstreams in, and tell callers which entry
//! instances to use. *Entry instances* take calls in and relay them to upstreams of their region,
//! or through an entry instance of another region.
//!
//! Every process opens a [`link`] to every keeper that it knows of. The keeper at the other end
//! sends [`link::News`] over it: changed upstreams, the version of the table, evacuated zones, and
//! the instances of the system. So each entry instance hears from every keeper that it can reach,
//! and needs any one of them only.
//!
//! The decisions are in [`medlarlug_core::gateway`]; this crate carries them out. What the outside
//! world calls things is none of its business: the names of headers come in as
//! [`headers::HeaderNames`], and tables are read by a function in [`settings::NodeSettings`].

pub mod entry;
pub mod headers;
pub mod keeper;
pub mod link;
pub mod metrics;
pub mod settings;

mod keeper_links;
mod load_exchange;
mod subscribers;
