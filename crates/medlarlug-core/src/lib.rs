//! Coordination cores of an inference gateway, without I/O.
//!
//! Every decision that involves several of the gateway's processes is made by a *core*: a plain struct that
//! handles events and returns effects.
//!
//! ```text
//! fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>)
//! ```
//!
//! A core opens no socket, reads no clock and uses no global source of randomness: the time, the
//! seed and every message are arguments. The embedding process runs one loop that passes events to the core
//! and carries out its effects, so the same code runs in production, in benchmarks and in
//! thousands of seeded test histories.
//!
//! The modules that all cores share are [`ids`], [`time`], [`units`], [`announcement`]
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
pub mod memory_budget;
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
