//! Decisions of a gateway in front of upstreams that announce themselves.

mod allotment;
mod announcements;
mod availability;
mod away;
mod contacts;
mod fixture;
mod handover;
mod limits;
mod load_exchange;
mod named_limits;
mod patience;
mod placing;
mod publication;
mod refusing;
mod silence;
mod stall;
mod table;
mod turns;
mod view;
