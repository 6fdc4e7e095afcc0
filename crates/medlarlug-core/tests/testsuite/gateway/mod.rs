//! Decisions of a gateway in front of upstreams that announce themselves.

mod announcements;
mod attempt_timeout;
mod authentication;
mod availability;
mod connectivity;
mod contacts;
mod engine_memory;
mod evacuation_orders;
mod fixture;
mod handover;
mod keeper_view;
mod limits;
mod load_exchange;
mod load_shedding;
mod pace;
mod permits;
mod placement;
mod prefill_queue;
mod publication;
mod quota;
mod remote_region;
mod stall_detector;
mod stream_timeout;
mod stream_versions;
mod table;
mod upstream_limits;
