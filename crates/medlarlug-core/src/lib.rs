//! Coordination cores of an inference gateway, without I/O.
//!
//! Every decision that the gateway's processes take together is a *core*: a plain struct that is
//! fed with events and answers with effects.
//!
//! ```text
//! fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>)
//! ```
//!
//! A core opens no socket, reads no clock and owns no global source of randomness: the time, the
//! seed and every message come in as arguments. The embedding program runs one loop that feeds
//! events in and carries effects out, so the same code runs in production, in benches and in
//! thousands of seeded test histories.
//!
//! The building blocks that all cores share are [`ids`], [`time`], [`units`], [`announcement`]
//! and [`release`].
//!
//! ```
//! use medlarlug_core::ids::ZoneId;
//!
//! let zone: ZoneId = "riga-a".parse().unwrap();
//! assert_eq!(zone.to_string(), "riga-a");
//! ```

pub mod admission;
pub mod announcement;
pub mod configuration_group;
pub mod directory;
pub mod drain;
pub mod fingerprint;
pub mod follower;
pub mod gateway;
pub mod home;
pub mod ids;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod record;
pub mod refusal;
pub mod release;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod stream;
pub mod suspects;
pub mod time;
pub mod units;
