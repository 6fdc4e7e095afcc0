//! Tests of the coordination cores.

mod booking_history;
mod configuration_group;
mod home_model;
mod release;
