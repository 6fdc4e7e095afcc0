//! Measures memory and threads of a process that has an nng link to each of its peers.

use std::{thread::sleep, time::Duration};

use medlarlug::{protocol::Message, transport::links::Links};
use medlarlug_core::ids::InstanceId;
use test_support::{free_address, id};

use crate::wire;

/// Wait after adding links, in which their connections are opened.
const CONNECT_TIME: Duration = Duration::from_secs(4);

pub struct Sample {
    pub peers: usize,
    pub memory: f64,
    pub threads: f64,
}

/// Measures this process after adding links up to each of `sizes`. All links lead to the process
/// itself, so that it also accepts as many connections as it opens.
pub fn measure(sizes: &[usize]) -> Vec<Sample> {
    let address = free_address();
    let before = wire::resident_bytes();
    let own: InstanceId = id("entry-000");
    let (mut links, incoming) = Links::listen(own, wire::keys(), address).expect("a listener");
    let mut samples = Vec::new();
    let mut link_count = 0;
    for peers in sizes {
        for number in link_count..*peers {
            let peer: InstanceId = id(&format!("peer-{number:03}"));
            links.add_peer(peer.clone(), address);
            links.send(&peer, Message::NothingReceived).expect("a link");
        }
        link_count = *peers;
        sleep(CONNECT_TIME);
        let memory = wire::resident_bytes() - before;
        samples.push(Sample { peers: link_count, memory, threads: wire::thread_count() });
    }
    drop((links, incoming));
    samples
}
