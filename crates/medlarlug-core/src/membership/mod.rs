//! Who is there: upstreams of the own zone, instances of the system, and what other zones can do.
//!
//! Upstreams announce themselves to one or two entry instances of their zone and renew the
//! announcement within its lease. Every entry instance of the zone learns of every upstream:
//! announcements are handed to the other entry instances as small deltas, dated by their age.
//! Leaving leaves a tombstone behind, which beats every older announcement that arrives late.
//!
//! Between zones only summaries travel. One entry instance per zone, the *speaker*, sends them:
//! often within its region, rarely to the other regions, where one zone hands them on.
//!
//! Instances watch each other by heartbeats. A silent connection is replaced by a new one first;
//! an instance counts as dead only when the new connection is silent as well.

mod core;
mod dead_peers;
pub mod dump;
mod hash;
pub mod load;
pub mod message;
pub mod peers;
pub mod pending_responses;
mod query;
mod speaker;
pub mod summary;
pub mod timing;
pub mod upstreams;
pub mod warm;
pub mod zones;

use crate::{
    announcement::Announcement,
    ids::{Incarnation, InstanceId, RegionId, UpstreamId, ZoneId},
};

pub use core::Membership;
pub use dump::MembershipDump;
pub use message::{
    EntryLoad, Heartbeat, LoadNews, LostPeer, Message, Millis, Scope, Status, Summaries,
    UpstreamKey, UpstreamNews, ZoneNews,
};
pub use peers::{Peer, PeerState};
pub use pending_responses::Awaited;
pub use query::EntryView;
pub use summary::{QueueTime, Sketch, Target, TargetSummary};
pub use timing::TICK;
pub use upstreams::Upstream;
pub use warm::{ShortPrint, WarmSet};
pub use zones::{Row, ZoneView};

/// Role of an instance of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceKind {
    /// Takes callers' requests in.
    Entry,
    /// Keeps replicated state.
    Keeper,
}

/// An instance that is known from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The instance.
    pub id: InstanceId,
    /// Its role.
    pub kind: InstanceKind,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// What an instance knows of itself at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance itself.
    pub own: Seed,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The other instances.
    pub peers: Vec<Seed>,
}

/// What happens to the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An upstream of the zone announced itself to this instance.
    Announced(Announcement),
    /// A message of another instance arrived.
    Message {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// The own load or state changed.
    Status(Status),
    /// Time passed; due every [`TICK`].
    Tick,
}

/// What the embedding program has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Replace the connection to a peer, which has been silent.
    Reconnect {
        /// The peer.
        peer: InstanceId,
    },
    /// Something changed.
    Notice(Notice),
}

/// A change in what is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// An upstream takes work.
    UpstreamUp(UpstreamId),
    /// An upstream takes no new work: its requests end normally.
    UpstreamLeaving(UpstreamId),
    /// An upstream's lease ran out.
    UpstreamDead(UpstreamId),
    /// An instance is alive.
    PeerUp(InstanceId),
    /// An instance is about to stop.
    PeerLeaving(InstanceId),
    /// An instance is silent on a new connection too.
    PeerDead(InstanceId),
    /// An announcement was refused, because it names another zone.
    ForeignZone(UpstreamId),
}
