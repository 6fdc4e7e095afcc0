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
    /// Time on the leader's monotonic clock since its previous command; zero for its first.
    pub elapsed: Duration,
    /// What to do.
    pub action: Action,
}

/// What a [`Command`] does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Forms the group: the first command of every log. Ignored once the group is formed.
    Found {
        /// Revision at which the configuration group recorded the founding.
        revision: Revision,
        /// Whether no group of this region existed before.
        first: bool,
    },
    /// An instance has started: its earlier incarnations are gone.
    InstanceStarted {
        /// The instance.
        instance: InstanceId,
        /// Its new incarnation.
        incarnation: Incarnation,
    },
    /// An incarnation seems to be lost. This is safe to say of one that still runs: what it
    /// reports later is still taken.
    #[serde(rename = "InstanceLost")]
    InstanceDead {
        /// The instance.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A booking is about to be sent.
    Begin(Begin),
    /// The upstream answered a booking.
    Finish {
        /// Whose booking it is.
        team: TeamId,
        /// Its key.
        key: BookingKey,
        /// The request that was sent to the upstream.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// The owner gives a booking up and has not sent it and never will.
    Abandon {
        /// Whose booking it is.
        team: TeamId,
        /// Its key.
        key: BookingKey,
        /// The request that was begun.
        request: RequestId,
    },
    /// The owner sent a booking and does not know whether it ran.
    #[serde(rename = "Lose")]
    MarkUnknown {
        /// Whose booking it is.
        team: TeamId,
        /// Its key.
        key: BookingKey,
        /// The request that was sent.
        request: RequestId,
    },
    /// A plain service, asked later, gave the answer to a booking of unknown outcome.
    #[serde(rename = "Settle")]
    ResolveOutcome {
        /// Whose booking it is.
        team: TeamId,
        /// Its key.
        key: BookingKey,
        /// The request that was sent to the upstream.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// The team's home moves away: no booking of it is begun here any more.
    Seal {
        /// The team.
        team: TeamId,
        /// Its new home region.
        to: RegionId,
        /// Revision at which its home was changed.
        epoch: Revision,
    },
    /// The team's home has moved here, with these bookings.
    Adopt(Handover),
    /// The team's home has moved here from a group that is lost with its state.
    #[serde(rename = "AdoptLost")]
    AdoptWithStateLoss {
        /// The team.
        team: TeamId,
        /// Revision at which its home was changed.
        epoch: Revision,
    },
    /// The new home has adopted the team: its bookings are dropped here.
    Release {
        /// The team.
        team: TeamId,
        /// Revision at which its home was changed.
        epoch: Revision,
    },
    /// Records of requests; a later record of a request replaces an earlier one.
    Records(#[serde(with = "crate::record::batch")] Vec<RequestRecord>),
    /// An upstream was lost without an explanation while it ran these requests.
    Loss {
        /// The lost upstream.
        upstream: UpstreamId,
        /// Its lost incarnation.
        incarnation: Incarnation,
        /// Fingerprints of the requests that it ran.
        suspects: Vec<Fingerprint>,
    },
    /// A suspect ran to its end without a loss.
    Clear(Fingerprint),
    /// Another region quarantined a request.
    Quarantine {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Time until the quarantine ends.
        remaining: Duration,
    },
    /// An instance asks for the lease of the issuer of orders, or renews it.
    Lease {
        /// The asking instance.
        holder: Owner,
        /// How long it asks for; at most [`MAX_LEASE`](crate::home::state::MAX_LEASE).
        duration: Duration,
    },
    /// Time has passed; expired bookings, suspicions and quarantines are dropped.
    Tick,
    /// The group was rebuilt from the state of one survivor, which may lack the newest commands.
    /// Whatever may have gone on since then is unknown, and the group has to be founded anew.
    Rebuilt,
}

/// The intent to send one booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Whose booking it is.
    pub team: TeamId,
    /// Its key.
    pub key: BookingKey,
    /// Fingerprint of the call: method, path and body.
    pub content: Fingerprint,
    /// The request.
    pub request: RequestId,
    /// The only process that may send it.
    pub owner: Owner,
    /// Revision of the owner's configuration.
    pub revision: Revision,
    /// Revision at which the team got its home, as the owner's configuration says.
    pub epoch: Revision,
    /// Whether the team had another home before.
    pub moved: bool,
    /// The service, if it can be asked about the outcome.
    #[serde(rename = "askable")]
    pub queryable_service: Option<ServiceId>,
}

/// The reply to a [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// The intent is recorded; the owner may send the booking once.
    Started,
    /// The booking ended before, with this answer.
    Done {
        /// The request that got the answer.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Another request with this key and content is under way.
    InProgress(RequestId),
    /// The booking may have run; it is not sent again.
    Unknown(Option<RequestId>),
    /// The key was used for another content; nothing was run for this request.
    KeyReused(RequestId),
    /// This request was given up before; nothing was run for it.
    Abandoned,
    /// The team's home is elsewhere; nothing was run.
    NotHome(RegionId),
    /// The owner's configuration is older than this founding of the group, which can't tell
    /// whether the team has moved away since then; nothing was run.
    StaleConfiguration(Revision),
    /// The team's bookings have not arrived from its former home; nothing was run.
    NotAdopted,
    /// The group keeps as many keys as it can; nothing was run.
    Full,
    /// The owner's incarnation has been replaced; nothing was run.
    StaleOwner(Incarnation),
    /// The group is not formed yet; nothing was run.
    NotFounded,
}

/// The reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done, or done before.
    Ok,
    /// The group is not formed yet; nothing has changed.
    NotFounded,
    /// Reply to [`Action::Found`]: the revision at which the group was founded.
    Founded(Revision),
    /// Reply to [`Action::Begin`].
    Begin(BeginReply),
    /// The command names a booking that is not in the state for it; nothing has changed.
    NoSuchBooking,
    /// The team's bookings are handed over to this region; the command has to be sent there.
    Moved(RegionId),
    /// Reply to [`Action::Seal`]: the team's bookings.
    Handover(Handover),
    /// This group does not hold the team, or not yet; the command may be sent again later.
    NotAdopted,
    /// Reply to [`Action::Loss`].
    Suspects(Vec<Suspect>),
    /// Reply to [`Action::Lease`]: granted under this term.
    LeaseGranted {
        /// Fencing term; it rises with every new holder.
        term: Term,
        /// How long the lease lasts from when it was asked for.
        duration: Duration,
    },
    /// Reply to [`Action::Lease`]: another instance holds it, or may hold it.
    LeaseHeld {
        /// The holder; `None` if the group lost its state and can't tell.
        holder: Option<Owner>,
        /// Time until its lease ends.
        remaining: Duration,
    },
}

/// A request that may crash upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Losses that it is suspected of.
    #[serde(rename = "losses")]
    pub crashes: u32,
    /// Time until its quarantine ends, if it is quarantined.
    pub quarantined: Option<Duration>,
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordLookup {
    /// Its record.
    Found(RequestRecord),
    /// It is not recorded, or its record is no longer kept.
    Expired,
    /// No record has come yet; its instance still runs.
    #[serde(rename = "NotYet")]
    Pending,
}
