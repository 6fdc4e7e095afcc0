//! Commands and replies of a home group.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    home::booking::{BookingKey, Handover, Owner, RecordedAnswer},
    ids::{
        Incarnation, InstanceId, RegionId, RequestId, Revision, ServiceId, TeamId, Term, UpstreamId,
    },
    record::RequestRecord,
};

/// A command in the log of a home group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Time since the leader's previous command on its monotonic clock; zero for its first command.
    pub elapsed: Duration,
    /// Action to apply.
    pub action: Action,
}

/// Action of a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Founds the group; the first command of every log. Ignored once the group is founded.
    Found {
        /// Revision of the configuration group at which it recorded the founding.
        revision: Revision,
        /// Whether the region had no home group before.
        first: bool,
    },
    /// An instance has started, so its earlier incarnations no longer run.
    InstanceStarted {
        /// Instance that started.
        instance: InstanceId,
        /// Incarnation under which it runs.
        incarnation: Incarnation,
    },
    /// An incarnation is presumed dead. The command is safe if the process still runs: its later commands
    /// are still accepted.
    #[serde(rename = "InstanceLost")]
    InstanceDead {
        /// Instance that is presumed dead.
        instance: InstanceId,
        /// Incarnation that is presumed dead.
        incarnation: Incarnation,
    },
    /// Records the intent to send a booking.
    Begin(Begin),
    /// Records the answer of the upstream to a booking.
    Finish {
        /// Team that owns the booking.
        team: TeamId,
        /// Key of the booking.
        key: BookingKey,
        /// Request that was sent to the upstream.
        request: RequestId,
        /// Answer to record.
        answer: RecordedAnswer,
    },
    /// Abandons a booking that its owner has not sent and will never send.
    Abandon {
        /// Team that owns the booking.
        team: TeamId,
        /// Key of the booking.
        key: BookingKey,
        /// Request that started the booking.
        request: RequestId,
    },
    /// Records that the owner sent a booking and does not know whether it ran.
    #[serde(rename = "Lose")]
    MarkUnknown {
        /// Team that owns the booking.
        team: TeamId,
        /// Key of the booking.
        key: BookingKey,
        /// Request that was sent to the upstream.
        request: RequestId,
    },
    /// Records the answer that a plain service returned to a query for an unknown outcome.
    #[serde(rename = "Settle")]
    ResolveOutcome {
        /// Team that owns the booking.
        team: TeamId,
        /// Key of the booking.
        key: BookingKey,
        /// Request that was sent to the upstream.
        request: RequestId,
        /// Answer to record.
        answer: RecordedAnswer,
    },
    /// Transfers the team's bookings to its new home region; this group starts no more bookings of it.
    Seal {
        /// Team whose home region changed.
        team: TeamId,
        /// New home region of the team.
        to: RegionId,
        /// Revision that changed the home region.
        epoch: Revision,
    },
    /// Takes over a team, with these bookings, from its former home group.
    Adopt(Handover),
    /// Takes over a team from a home group that has lost its state, without any bookings.
    #[serde(rename = "AdoptLost")]
    AdoptWithStateLoss {
        /// Team whose home region changed.
        team: TeamId,
        /// Revision that changed the home region.
        epoch: Revision,
    },
    /// Deletes the bookings of a team that the new home group has adopted.
    Release {
        /// Team whose home region changed.
        team: TeamId,
        /// Revision that changed the home region.
        epoch: Revision,
    },
    /// Stores request records; a later record of a request replaces an earlier one, unless it has less
    /// information on the outcome.
    Records(#[serde(with = "crate::record::batch")] Vec<RequestRecord>),
    /// Records that an upstream crashed for no known reason while it ran these requests.
    Loss {
        /// Upstream that crashed.
        upstream: UpstreamId,
        /// Incarnation of the upstream that crashed.
        incarnation: Incarnation,
        /// Fingerprints of the requests that it ran.
        suspects: Vec<Fingerprint>,
    },
    /// Removes the suspicion from a request that ran to its end without a crash.
    Clear(Fingerprint),
    /// Records that another region has quarantined a request.
    Quarantine {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Time until the quarantine ends.
        remaining: Duration,
    },
    /// Requests or renews the lease of the order issuer.
    Lease {
        /// Process that requests the lease.
        holder: Owner,
        /// Requested duration; at most [`MAX_LEASE`](crate::home::state::MAX_LEASE).
        duration: Duration,
    },
    /// Advances the logical clock, which removes expired bookings, suspicions and quarantines.
    Tick,
    /// The group was rebuilt from the state of one surviving replica, which may lack the newest commands.
    /// Bookings that may have changed since then become unknown, and the group has to be founded again.
    Rebuilt,
}

/// Intent to send one booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Team that owns the booking.
    pub team: TeamId,
    /// Key that the caller assigned.
    pub key: BookingKey,
    /// Fingerprint of the call: method, path and body.
    pub content: Fingerprint,
    /// Request that starts the booking.
    pub request: RequestId,
    /// Only process that may send the call.
    pub owner: Owner,
    /// Revision of the configuration that the owner uses.
    pub revision: Revision,
    /// Revision that set the team's home region, according to the owner's configuration.
    pub epoch: Revision,
    /// Whether the team had another home region before.
    pub moved: bool,
    /// Service that can be queried for the outcome, if there is one.
    #[serde(rename = "askable")]
    pub queryable_service: Option<ServiceId>,
}

/// Reply to a [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// The intent is recorded; the owner may send the call once.
    Started,
    /// The booking has already ended with this answer.
    Done {
        /// Request that the upstream answered.
        request: RequestId,
        /// Recorded answer.
        answer: RecordedAnswer,
    },
    /// Another request with this key and content is in progress.
    InProgress(RequestId),
    /// The call may have run, under this request if it is known; it is not sent again.
    Unknown(Option<RequestId>),
    /// The key was already used by this request for another content; the call was not run.
    KeyReused(RequestId),
    /// This request has already abandoned the booking; the call was not run.
    Abandoned,
    /// The team's home is this other region; the call was not run.
    NotHome(RegionId),
    /// The owner's configuration is older than this founding of the group, so the group cannot determine
    /// whether the team has moved to another region since then; the call was not run.
    StaleConfiguration(Revision),
    /// The group has not yet received the team's bookings from the former home; the call was not run.
    NotAdopted,
    /// The group has reached its limit of stored keys; the call was not run.
    Full,
    /// This newer incarnation of the owner's instance has started; the call was not run.
    StaleOwner(Incarnation),
    /// The group is not founded yet; the call was not run.
    NotFounded,
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in effect, from this command or from an earlier one.
    Ok,
    /// The group is not founded yet; nothing has changed.
    NotFounded,
    /// Reply to [`Action::Found`]: revision at which the group was founded.
    Founded(Revision),
    /// Reply to [`Action::Begin`].
    Begin(BeginReply),
    /// The booking does not exist, belongs to another request or is not in a state that permits the
    /// command; nothing has changed.
    NoSuchBooking,
    /// The team's bookings were transferred to this region; the command has to be sent there.
    Moved(RegionId),
    /// Reply to [`Action::Seal`]: bookings of the team.
    Handover(Handover),
    /// The group does not hold the team, or not yet; the command may be retried later.
    NotAdopted,
    /// Reply to [`Action::Loss`]: state of each of its suspects.
    Suspects(Vec<Suspect>),
    /// Reply to [`Action::Lease`]: the lease is granted.
    LeaseGranted {
        /// Fencing term; it rises with every new holder.
        term: Term,
        /// Duration of the lease, counted from when the holder sent the request.
        duration: Duration,
    },
    /// Reply to [`Action::Lease`]: another process holds the lease, or may hold it.
    LeaseHeld {
        /// Holder of the lease; `None` if the group lost its state and does not know it.
        holder: Option<Owner>,
        /// Time until that lease expires.
        remaining: Duration,
    },
}

/// Request that may crash upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Number of crashes that the request is suspected to have caused.
    #[serde(rename = "losses")]
    pub crashes: u32,
    /// Time until the quarantine ends; `None` if the request is only suspected.
    pub quarantined: Option<Duration>,
}

/// Result of looking up the record of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordLookup {
    /// Stored record; its `outcome` is `None` while the request runs.
    Found(RequestRecord),
    /// The request is not recorded, or its record was evicted.
    Expired,
    /// No record has been received yet, and the instance of the request is not known to have stopped.
    #[serde(rename = "NotYet")]
    Pending,
}
