//! nng sockets: memory and threads of a process that has a link to every other one.

use std::{thread::sleep, time::Duration};

use medlarlug::{protocol::Message, transport::links::Links};
use medlarlug_core::ids::InstanceId;
use test_support::{free_address, id};

use crate::wire;

/// Time in which the connections are made.
const SETTLING: Duration = Duration::from_secs(4);

pub struct Sample {
    pub peers: usize,
    pub memory: f64,
    pub threads: f64,
}

/// A process that gets more and more links, all of them to itself, so that it has as many
/// connections from others as well.
pub fn measure(sizes: &[usize]) -> Vec<Sample> {
    let address = free_address();
    let before = wire::resident_bytes();
    let own: InstanceId = id("entry-000");
    let (mut links, incoming) = Links::listen(own, wire::keys(), address).expect("a listener");
    let mut samples = Vec::new();
    let mut made = 0;
    for peers in sizes {
        for number in made..*peers {
            let peer: InstanceId = id(&format!("peer-{number:03}"));
            links.add_peer(peer.clone(), address);
            links.send(&peer, Message::NothingReceived).expect("a link");
        }
        made = *peers;
        sleep(SETTLING);
        let memory = wire::resident_bytes() - before;
        samples.push(Sample { peers: made, memory, threads: wire::threads() });
    }
    drop((links, incoming));
    samples
}
