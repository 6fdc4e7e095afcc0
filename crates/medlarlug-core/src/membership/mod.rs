//! Membership: the upstreams of the own zone, the instances of the deployment, and summaries of
//! what other zones can serve.
//!
//! Upstreams announce themselves to one or two entry instances of their zone and renew the
//! announcement within its lease. These forward small deltas, dated by their age, to the other
//! entry instances of the zone, so that all of them know every upstream. An upstream that leaves is
//! replaced by a tombstone, which takes precedence over older announcements that arrive late.
//!
//! Only summaries are sent between zones. One entry instance per zone, the *speaker*, sends them:
//! often within its region, and rarely to the other regions, where one zone forwards them to the
//! others.
//!
//! Instances watch each other by heartbeats. An unresponsive connection is first replaced by a new
//! one. An instance counts as dead only when the new connection is unresponsive as well.

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
    DeadPeer, EntryLoad, Heartbeat, LoadUpdate, Message, Millis, Scope, Status, Summaries,
    UpstreamKey, UpstreamUpdate, ZoneUpdate,
};
pub use peers::{Peer, PeerState};
pub use pending_responses::PendingResponses;
pub use query::EntryView;
pub use summary::{QueueTime, Sketch, Target, TargetSummary};
pub use timing::TICK;
pub use upstreams::Upstream;
pub use warm::{ShortFingerprint, WarmSet};
pub use zones::{Row, ZoneView};

/// Role of an instance in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceKind {
    /// Receives requests from callers and sends them to upstreams.
    Entry,
    /// Stores replicated state.
    Keeper,
}

/// An instance that is known from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Id of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub kind: InstanceKind,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
}

/// Configuration of the core at the start of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance itself.
    pub own: Seed,
    /// Incarnation of the instance; higher after each restart.
    pub incarnation: Incarnation,
    /// Every other instance of the deployment, watched or not.
    pub peers: Vec<Seed>,
}

/// An input of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An upstream of the zone announced itself to this instance.
    Announced(Announcement),
    /// A message of another instance arrived.
    Message {
        /// The sender.
        from: InstanceId,
        /// Decoded message; any kind counts as a sign of life of the sender.
        message: Message,
    },
    /// The load or state of this instance changed.
    Status(Status),
    /// Time has passed; due every [`TICK`].
    Tick,
}

/// An action that the embedding program carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// Message to encode and send over the connection to the receiver.
        message: Message,
    },
    /// Replace the connection to a peer, because it is unresponsive.
    Reconnect {
        /// Watched instance that timed out, is dead or was never seen.
        peer: InstanceId,
    },
    /// Report a change of the view.
    Notice(Notice),
}

/// A change of the membership view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// An upstream accepts requests: it is new, has returned or has changed what it serves.
    UpstreamUp(UpstreamId),
    /// An upstream accepts no new requests; those in progress end normally.
    UpstreamLeaving(UpstreamId),
    /// The lease of an upstream expired.
    UpstreamDead(UpstreamId),
    /// An instance is alive.
    PeerUp(InstanceId),
    /// An instance is about to stop.
    PeerLeaving(InstanceId),
    /// An instance is unresponsive on a new connection too.
    PeerDead(InstanceId),
    /// An announcement was rejected because it names another zone.
    ForeignZone(UpstreamId),
}
