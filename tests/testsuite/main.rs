//! Tests of the product: its parts and its processes.

mod batching;
mod budget;
mod calls;
mod cli;
mod compaction;
mod docs;
mod event_buffer;
mod http_client;
mod http_server;
mod journal;
mod logs;
mod processes;
mod protocol;
mod service_answers;
mod settings;
mod standin;
mod state;
