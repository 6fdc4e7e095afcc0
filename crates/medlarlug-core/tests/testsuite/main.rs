//! Tests of the coordination cores.

mod admission;
mod booking_history;
mod configuration_group;
mod directory;
mod drain;
mod draining;
mod follower;
mod home_limits;
mod home_model;
mod home_tables;
mod limits;
mod membership;
mod network;
mod order_plan;
mod orders;
mod record_batch;
mod release;
mod renewals;
mod replication;
mod retry;
mod routing;
mod routing_attempts;
mod routing_refusals;
mod routing_slow;
mod stream;
mod suspects;
