//! Messages between processes.

use std::{fmt, time::Duration};

use medlarlug_core::{
    configuration_group, follower,
    gateway::publication::{self, Publication},
    home,
    ids::{InstanceId, RegionId, RequestId, Revision, UpstreamId, ZoneId},
    limits, membership, replication, suspects,
};
use serde::{Deserialize, Serialize};

/// Identifies a replication group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// The group that accepts release notes and holds the configuration.
    Configuration,
    /// The group that records the bookings and requests of a region.
    Home(RegionId),
    /// The group that stores the route table and the evacuated zones of a gateway.
    Publication,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Configuration => f.write_str("configuration"),
            GroupId::Home(region) => write!(f, "home-{region}"),
            GroupId::Publication => f.write_str("publication"),
        }
    }
}

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request to a replication group, answered by [`Message::Reply`].
    Call {
        /// Number of the call, chosen by the sender.
        call: u64,
        /// The group that handles the request.
        group: GroupId,
        /// Command or read; only the leader of the group handles it.
        request: GroupRequest,
    },
    /// The answer to a call.
    Reply {
        /// Number of the call, as in [`Message::Call`].
        call: u64,
        /// The answer.
        reply: GroupReply,
    },
    /// A message between members of a replication group.
    Replication {
        /// Group of which the sender and the receiver are members.
        group: GroupId,
        /// Message of the replication protocol, for the receiver's replica of the group.
        message: replication::Message,
    },
    /// A message of the membership protocol between instances.
    Membership(membership::Message),
    /// Requests the newest configuration.
    #[serde(rename = "Ask")]
    UpdateRequest(follower::UpdateRequest),
    /// The response to [`Message::UpdateRequest`].
    #[serde(rename = "Answer")]
    UpdateResponse(Box<follower::UpdateResponse>),
    /// The demand of teams, between entry instances of a region.
    Demand {
        /// The sender's demand.
        report: limits::DemandReport,
    },
    /// Requests the demand of every team from an entry instance.
    #[serde(rename = "AskDemand")]
    DemandRequest,
    /// A fact about a request that may crash upstreams, between entry instances.
    Fact(suspects::Fact),
    /// Reserves an upstream for a trial run of one suspect, between entry instances of a zone.
    Reserve {
        /// Upstream that is reserved for the trial run.
        upstream: UpstreamId,
        /// Time after which the reservation expires unless [`Message::Free`] ends it before.
        lifetime: Duration,
    },
    /// Ends a reservation.
    Free {
        /// Upstream whose reservation by [`Message::Reserve`] ends.
        upstream: UpstreamId,
    },
    /// A new configuration, sent without a request.
    Push(Box<follower::Update>),
    /// The sender has received nothing from the receiver, whose connection to it may be unresponsive.
    #[serde(rename = "Unheard")]
    NothingReceived,
    /// Tells an entry instance to query services of its zone for the outcome of bookings.
    #[serde(rename = "Questions")]
    OutcomeQueries {
        /// Region of the home group that records the bookings.
        home: RegionId,
        /// The queries, one for each booking.
        #[serde(rename = "questions")]
        queries: Vec<home::OutcomeQuery>,
    },
}

/// A request to a replication group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupRequest {
    /// A command for the state machine of the configuration group.
    Configure(configuration_group::Command),
    /// An action for the state machine of a home group.
    Act(home::Action),
    /// Reads the record of a request.
    LookUp(RequestId),
    /// Reads the accepted release notes.
    History,
    /// Reads the newest revision, or the newest version of the route table.
    Revision,
    /// Reads the revision at which a home group was founded.
    #[serde(rename = "Founding")]
    FoundingRevision,
    /// Reads the teams whose move to a new home region is in progress.
    #[serde(rename = "Moves")]
    HomeMoves,
    /// Reads which instances have a revision in effect; the newest one if it is `None`.
    #[serde(rename = "Force")]
    Rollout(Option<Revision>),
    /// A command for the state machine of the publication group.
    Publish(publication::Command),
    /// Reads the newest route table and the evacuated zones.
    Published,
}

impl GroupRequest {
    /// For a change of the evacuated zones: the zone, and whether the request evacuates it.
    pub fn evacuation(&self) -> Option<(&ZoneId, bool)> {
        match self {
            GroupRequest::Publish(command) => command.evacuation(),
            _ => None,
        }
    }
}

/// The answer of a replication group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupReply {
    /// The reply of the configuration group's state machine.
    Configured(configuration_group::Reply),
    /// The reply of a home group's state machine.
    Acted(home::Reply),
    /// The result of a lookup of a request record.
    #[serde(rename = "Known")]
    Record(home::RecordLookup),
    /// The accepted release notes, the newest last.
    History(Vec<configuration_group::Accepted>),
    /// Newest revision of the configuration group, or newest version of the publication group's table,
    /// for [`GroupRequest::Revision`].
    Revision(Revision),
    /// The revision at which the home group was founded, if it was.
    #[serde(rename = "Founding")]
    FoundingRevision(Option<Revision>),
    /// The teams whose move to a new home region is in progress.
    #[serde(rename = "Moves")]
    HomeMoves(Vec<configuration_group::HomeMove>),
    /// The instances that have a revision in effect.
    #[serde(rename = "Force")]
    Rollout(configuration_group::Rollout),
    /// A command of the publication group was applied.
    Accepted,
    /// The newest route table and the evacuated zones.
    Published(Box<Publication>),
    /// The replying instance doesn't lead the group; the leader, if it is known.
    NotLeader(Option<InstanceId>),
    /// The command was accepted, but it is unknown whether it was or will be applied.
    Uncertain,
    /// The group doesn't support the request.
    #[serde(rename = "Unfit")]
    UnsupportedRequest,
    /// What the request changes has been changed since it was received; it has no effect.
    Outdated,
}
