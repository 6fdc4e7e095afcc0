//! Replication of a log by a leader.
//!
//! A group of replicas agrees on one sequence of commands. One replica leads; it appends commands
//! to its log, sends them to the others and commits what enough of them hold. Several replicas of
//! different groups can live in one process: a [`Replica`] is a value that [`Replica::handle`]
//! feeds.
//!
//! # Terms, votes and the log
//!
//! Time is divided into terms with at most one leader each. A voter that has not heard from a
//! leader asks whether it *would* get votes (pre-vote) before it raises the term, so a member that
//! was cut off cannot disturb the group on its return. A voter that has just heard a leader helps
//! nobody to replace it, and a leader that no longer hears a majority steps down by its own clock
//! (check-quorum). No vote, acknowledgement or vote of a candidate for itself is given before
//! storage has confirmed it by [`Event::Persisted`].
//!
//! # Members and their storage
//!
//! A member is an instance together with its [`StorageId`], which is drawn at random when the
//! storage is created. Messages within the group name the storage of the receiver, so an instance
//! whose storage was lost answers nothing that was meant for its former self: it cannot vote or
//! acknowledge in the former member's name. It introduces itself instead, and the leader lets it
//! back in by entries of the log: the new member is added without a vote, catches up, the old
//! member is removed, the new one promoted. Each step is a change of one voter and is committed
//! before the next begins. A voter without a disk draws a new storage id at every start.
//!
//! # Open groups
//!
//! A group may be open ([`Config::open`]): an instance that no membership has named is let in
//! without a vote, so that it holds the log and can answer for it. It gets a vote while the group
//! has fewer than it is to have, or when a voter has been silent for [`Config::replace_after`];
//! the silent one is removed next, and let in again without a vote when it returns.
//!
//! # Durable and volatile voters
//!
//! A volatile voter acknowledges from memory. While a durable voter is a member, every commit
//! includes the sync of a durable member.
//!
//! # Formation
//!
//! The first of the configured founders forms the group once it has heard, within
//! [`Config::election_max`], from *every* founder that its storage belongs to no group, in a
//! message that names the first founder's own storage and so cannot be left over from before. One
//! surviving founder is thus enough to keep a wiped majority from forming a second, empty group.
//!
//! # Every voter that held a commit restarted empty
//!
//! Take voters A, B and C and a commit that A and B hold. If A and B lose their storage at once, C
//! remains with a log that lacks the commit. The wiped A and B are new members, which have no vote
//! until a leader lets them in, and C alone is no majority. No leader stands, and nothing that was
//! committed is replaced by something else: the group stops. An operator decides: either one of
//! the lost disks is brought back, or [`Restored::rebuild`] turns the log of the best survivor into
//! a group of its own, under a new [`FormationId`], to which the others are added. What the
//! survivor lacked is lost then, and whatever builds on the group has to treat everything it
//! cannot find as unknown rather than as never done; the new formation id tells it so.
//!
//! What cannot be told apart: storage that was lost at *every* founder at the same time looks like
//! a first start. Set [`Config::may_form`] to `false` once a group stands, and it stops instead.
//! A single-voter group and a group of volatile voters only are in this class at every loss.
//!
//! # Embedding
//!
//! A group of one voter, with storage that keeps nothing:
//!
//! ```
//! use medlarlug_core::{replication::*, time::Time};
//!
//! fn drive(replica: &mut Replica, now: Time, event: Event, applied: &mut Vec<Vec<u8>>) {
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
//! let mut replica = Replica::new(config, Restored::default(), 1, Time::ZERO);
//! let mut applied = Vec::new();
//!
//! drive(&mut replica, Time::ZERO, Event::Tick, &mut applied);
//! assert_eq!(replica.role(), Role::Leader);
//!
//! let propose = Event::Propose { ticket: 1, command: b"hello".to_vec() };
//! drive(&mut replica, Time::from_millis(1), propose, &mut applied);
//! assert_eq!(applied, [b"hello"]);
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
    event::{Effect, Event, Persist, Rejection, Restored, Role, Ticket},
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership, StorageId},
    message::{Body, Entry, Envelope, HardState, Hello, Message, Payload, Position, Snapshot},
    replica::Replica,
};
