//! Tests of the coordination cores.

mod booking_history;
mod home_model;
mod release;
