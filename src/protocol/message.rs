//! Messages between processes.

use std::{fmt, time::Duration};

use medlarlug_core::{
    configuration_group, follower,
    gateway::publication::{self, Publication},
    home,
    ids::{InstanceId, RegionId, RequestId, Revision, UpstreamId},
    limits, membership, replication, suspects,
};
use serde::{Deserialize, Serialize};

/// Names a replication group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// The group that accepts release notes.
    Configuration,
    /// The group that records the bookings and requests of a region.
    Home(RegionId),
    /// The group that keeps the route table and the evacuated zones of a gateway.
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
    /// A request to a replication group, to be answered by [`Message::Reply`].
    Call {
        /// Number of the call at the sender.
        call: u64,
        /// The group.
        group: GroupId,
        /// The request.
        request: GroupRequest,
    },
    /// The answer to a call.
    Reply {
        /// Number of the call at the receiver of this reply.
        call: u64,
        /// The answer.
        reply: GroupReply,
    },
    /// Between the members of a replication group.
    Replication {
        /// The group.
        group: GroupId,
        /// The message.
        message: replication::Message,
    },
    /// Between instances that watch each other.
    Membership(membership::Message),
    /// Asks for the newest configuration.
    #[serde(rename = "Ask")]
    UpdateRequest(follower::UpdateRequest),
    /// The answer to [`Message::UpdateRequest`].
    #[serde(rename = "Answer")]
    UpdateResponse(Box<follower::UpdateResponse>),
    /// Between entry instances of a region: the demand of teams.
    Demand {
        /// The sender's demand.
        report: limits::DemandReport,
    },
    /// Asks an entry instance for the demand of every team.
    #[serde(rename = "AskDemand")]
    DemandRequest,
    /// Between entry instances: a fact about a request that may crash upstreams.
    Fact(suspects::Fact),
    /// Between entry instances of a zone: an upstream is kept for one suspect.
    Reserve {
        /// The upstream.
        upstream: UpstreamId,
        /// Longest time of the reservation.
        lifetime: Duration,
    },
    /// The end of a reservation.
    Free {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A new configuration, sent without being asked for.
    Push(Box<follower::Update>),
    /// The sender hears nothing of the receiver, whose connection may have gone silent.
    #[serde(rename = "Unheard")]
    NothingReceived,
    /// To an entry instance: services of its zone have to be asked about bookings.
    #[serde(rename = "Questions")]
    OutcomeQueries {
        /// Region of the home group that records the bookings.
        home: RegionId,
        /// The bookings.
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
    /// Reads the newest revision.
    Revision,
    /// Reads the revision at which a home group was founded.
    #[serde(rename = "Founding")]
    FoundingRevision,
    /// Reads which teams are on their way to a new home region.
    #[serde(rename = "Moves")]
    HomeMoves,
    /// Reads where a revision is in force; the newest one if none is named.
    #[serde(rename = "Force")]
    Rollout(Option<Revision>),
    /// A command for the state machine of the publication group.
    Publish(publication::Command),
    /// Reads the newest route table and the evacuated zones.
    Published,
}

/// The answer of a replication group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupReply {
    /// The reply of the configuration group's state machine.
    Configured(configuration_group::Reply),
    /// The reply of a home group's state machine.
    Acted(home::Reply),
    /// What is known of a request.
    #[serde(rename = "Known")]
    Record(home::RecordLookup),
    /// The accepted release notes, the newest last.
    History(Vec<configuration_group::Accepted>),
    /// The newest revision.
    Revision(Revision),
    /// The revision at which the home group was founded, if it was.
    #[serde(rename = "Founding")]
    FoundingRevision(Option<Revision>),
    /// The teams that are on their way to a new home region.
    #[serde(rename = "Moves")]
    HomeMoves(Vec<configuration_group::HomeMove>),
    /// Where a revision is in force.
    #[serde(rename = "Force")]
    Rollout(configuration_group::Rollout),
    /// A command of the publication group is in force.
    Accepted,
    /// The newest route table and the evacuated zones.
    Published(Box<Publication>),
    /// The receiver doesn't lead the group; the leader, if it knows it.
    NotLeader(Option<InstanceId>),
    /// The request was taken in, and whether it is in force is not known.
    Uncertain,
    /// The request doesn't fit the group.
    #[serde(rename = "Unfit")]
    UnsupportedRequest,
}
