//! Tests of the coordination cores.

mod booking_history;
mod configuration_group;
mod follower;
mod home_limits;
mod home_model;
mod home_tables;
mod orders;
mod admission;
mod drain;
mod limits;
mod release;
mod replication;
mod retry;
mod stream;
mod suspects;
mod directory;
mod membership;
mod network;
mod release;
mod routing;
