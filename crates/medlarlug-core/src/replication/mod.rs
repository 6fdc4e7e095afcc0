//! Log replication with a single leader, after the Raft algorithm.
//!
//! The replicas of a group agree on one sequence of commands. The leader appends commands to its
//! log, sends them to the other replicas and commits an entry once a quorum holds it. A [`Replica`]
//! performs no input or output: the embedding program feeds it with [`Replica::handle`] and carries
//! out the effects, so replicas of several groups can live in one process.
//!
//! # Terms, votes and the log
//!
//! Time is divided into terms with at most one leader each. A voter that has received nothing from a
//! leader asks whether it *would* get votes (pre-vote) before it raises the term, so a member that
//! was partitioned does not disturb the group when it reconnects. A voter that recently received a
//! message from a leader does not vote to replace it, and a leader that no longer receives answers
//! from a majority steps down by its own clock (check-quorum). No vote, acknowledgement or vote of a
//! candidate for itself takes effect before storage has confirmed it by [`Event::Persisted`].
//!
//! # Members and their storage
//!
//! A member is an instance together with its [`StorageId`], which is drawn at random when the
//! storage is created. Messages within the group name the receiver's storage, so an instance that
//! lost its storage ignores messages addressed to the former member and cannot vote or acknowledge
//! in its name. Instead it sends a [`Hello`], and the leader readmits it through log entries: the new
//! member is added without a vote and catches up, the old member is removed, and the new one is
//! promoted. Each step changes one voter and is committed before the next begins. A voter without a
//! disk draws a new storage id at every start.
//!
//! # Open groups
//!
//! A group may be open ([`Config::open`]): an instance that is not a member is admitted without a
//! vote, so that it holds the log and can answer from it. It gets a vote while the group has fewer
//! voters than its target, or when a voter has been unresponsive for [`Config::replace_after`]. The
//! unresponsive voter is removed next, and is admitted again without a vote when it returns.
//!
//! # Durable and volatile voters
//!
//! A volatile voter acknowledges from memory. While a durable voter is a member, every commit
//! includes the sync of a durable member.
//!
//! # Formation
//!
//! The first of the configured founders forms the group once it has received, within
//! [`Config::election_max`], a hello from *every* founder that says that the founder's
//! storage belongs to no group. Each hello must name the first founder's own storage, which rules
//! out a message from before a restart. One founder that kept its storage is thus enough to keep a
//! majority that lost theirs from forming a second, empty group.
//!
//! # Loss of every voter that held a commit
//!
//! Take voters A, B and C and a commit that A and B hold. If A and B lose their storage at once, C
//! remains with a log that lacks the commit. A and B are new members, which have no vote until a
//! leader admits them, and C alone is no majority. No leader can be elected and no committed entry is
//! replaced by another: the group stops. An operator decides: either one of the lost disks is brought
//! back, or [`StoredState::rebuild`] turns the log of the most complete survivor into a new group
//! with a new [`FormationId`], to which the others are added. Entries that the survivor lacked are
//! then lost. A state machine above the group has to treat everything it cannot find as unknown
//! rather than as never done; it recognises a rebuilt group by the new formation id.
//!
//! Loss of the storage of *every* founder at the same time cannot be distinguished from a first
//! start. Set [`Config::may_form`] to `false` once the group exists, and it stops instead. For a
//! group with a single voter or with volatile voters only, every loss is of this kind.
//!
//! # Embedding
//!
//! A group with a single voter, whose storage discards everything:
//!
//! ```
//! use medlarlug_core::{replication::*, time::Time};
//!
//! fn drive(replica: &mut Replica, now: Time, event: Event, applied: &mut Vec<bytes::Bytes>) {
//!     let mut events = vec![event];
//!     while let Some(event) = events.pop() {
//!         let mut effects = Vec::new();
//!         replica.handle(now, event, &mut effects);
//!         for effect in effects {
//!             match effect {
//!                 Effect::Persist(batch) => {
//!                     events.push(Event::Persisted { sequence: batch.sequence });
//!                 }
//!                 Effect::Apply { command, .. } => applied.push(command),
//!                 Effect::Committed { ticket, index } => println!("{ticket} is entry {index}"),
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//!
//! let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
//! let config = Config::new(key.clone(), vec![key.id]);
//! let mut replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);
//! let mut applied = Vec::new();
//!
//! drive(&mut replica, Time::ZERO, Event::Tick, &mut applied);
//! assert_eq!(replica.role(), Role::Leader);
//!
//! let propose = Event::Propose { ticket: 1, command: b"hello".to_vec().into() };
//! drive(&mut replica, Time::from_millis(1), propose, &mut applied);
//! assert_eq!(applied, [&b"hello"[..]]);
//! ```

mod append;
mod config;
mod election;
mod event;
mod formation;
mod leader;
mod log;
mod membership;
mod message;
mod progress;
mod replica;
mod snapshot_transfer;

pub use self::{
    config::Config,
    event::{Effect, Event, Persist, Rejection, Role, StoredState, Ticket},
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership, StorageId},
    message::{Body, Entry, Envelope, HardState, Hello, Message, Payload, Position, Snapshot},
    replica::Replica,
};
