//! A TCP relay between two processes that injects network faults: delay, partition, disconnection.
//!
//! A *held* relay accepts connections and bytes and delivers nothing until it is released, which
//! is how a network partition that drops packets appears to both ends. *Black-holed* connections
//! stay open and never deliver anything again, while later ones work. A *disconnected* relay
//! closes every connection at once. A relay may also be [cut](Relay::cut) for some processes only.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::socket_owner::is_owned_by;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// What happens to the connections of a process for which a relay is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections are closed, and so are new ones.
    Closed,
    /// New connections are closed; open ones live on.
    NewClosed,
    /// Open connections and new ones deliver nothing.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    is_held: bool,
    is_disconnected: bool,
    is_closed: bool,
    /// Number of the newest connection.
    last_connection: u64,
    /// Connections up to this number are black-holed.
    last_blackholed: u64,
    /// The processes for which the relay is cut, and how.
    cut: Option<(Vec<u32>, Cut)>,
    /// Further connections that are black-holed.
    silenced: Vec<u64>,
    open: Vec<(u64, TcpStream, TcpStream)>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no relay thread panics")
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.state());
        self.changed.notify_all();
    }

    /// Waits until the relay is not held. Returns whether the connection still delivers.
    fn may_deliver(&self, number: u64) -> bool {
        let mut state = self.state();
        while state.is_held && !state.is_closed && !state.is_blackholed(number) {
            state = self.changed.wait(state).expect("no relay thread panics");
        }
        !state.is_closed && !state.is_blackholed(number)
    }
}

impl Relay {
    /// Starts a relay to `target` on a free loopback address.
    pub fn start(target: SocketAddr) -> Relay {
        Relay::start_with(listen(), target)
    }

    /// Starts a relay to `target` on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        Ok(Relay::start_with(TcpListener::bind(address)?, target))
    }

    fn start_with(listener: TcpListener, target: SocketAddr) -> Relay {
        let address = listener.local_addr().expect("the address of a listener");
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, address, target, &accepting));
        Relay { address, shared }
    }

    /// The address at which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays every byte that is read from now on, in each direction.
    pub fn delay(&self, delay: Duration) {
        self.shared.update(|it| it.delay = delay);
    }

    /// Stops all delivery, or resumes it and delivers what was received in the meantime.
    pub fn hold(&self, is_held: bool) {
        self.shared.update(|it| it.is_held = is_held);
    }

    /// Keeps the open connections open but delivers nothing on them from now on.
    pub fn blackhole_open(&self) {
        self.shared.update(|it| it.last_blackholed = it.last_connection);
    }

    /// Cuts the relay for some processes, by their ids.
    pub fn cut(&self, processes: &[u32], cut: Cut) {
        let relay = self.address;
        self.shared.update(|it| {
            it.cut = Some((processes.to_vec(), cut));
            let is_cut = |client: &TcpStream| is_owned(processes, client, relay);
            match cut {
                Cut::NewClosed => {}
                Cut::Silent => {
                    let cut = it.open.iter().filter(|open| is_cut(&open.1)).map(|open| open.0);
                    it.silenced.extend(cut);
                }
                Cut::Closed => {
                    it.open.extract_if(.., |open| is_cut(&open.1)).for_each(close);
                }
            }
        });
    }

    /// Ends a cut. Connections that were silent during the cut stay so.
    pub fn heal(&self) {
        self.shared.update(|it| it.cut = None);
    }

    /// Closes every open and every new connection at once, or accepts new connections again.
    pub fn set_disconnected(&self, is_disconnected: bool) {
        self.shared.update(|it| {
            it.is_disconnected = is_disconnected;
            it.close_all();
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.update(|it| {
            it.is_closed = true;
            it.close_all();
        });
        // Unblocks the accepting thread, which then returns.
        let _ = TcpStream::connect(self.address);
    }
}

impl State {
    fn close_all(&mut self) {
        self.open.drain(..).for_each(close);
    }

    fn is_blackholed(&self, number: u64) -> bool {
        number <= self.last_blackholed || self.silenced.contains(&number)
    }

    /// How a connection is cut; `None` if it is not.
    fn cut_of(&self, client: &TcpStream, relay: SocketAddr) -> Option<Cut> {
        let (processes, cut) = self.cut.as_ref()?;
        is_owned(processes, client, relay).then_some(*cut)
    }
}

/// Whether one of `processes` has opened the connection `client` to the relay.
fn is_owned(processes: &[u32], client: &TcpStream, relay: SocketAddr) -> bool {
    // A connection that is closed already has no peer.
    let Ok(SocketAddr::V4(client)) = client.peer_addr() else { return false };
    let SocketAddr::V4(relay) = relay else { return false };
    is_owned_by(processes, client, relay).expect("the owner of a connection")
}

fn close((_, client, server): (u64, TcpStream, TcpStream)) {
    // The peer may have closed them before.
    let _ = client.shutdown(Shutdown::Both);
    let _ = server.shutdown(Shutdown::Both);
}

/// Listens at a free address. Tries again if another process binds it between check and bind.
fn listen() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(crate::free_address()) {
            return listener;
        }
    }
}

fn accept(listener: &TcpListener, relay: SocketAddr, target: SocketAddr, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        if shared.state().is_closed {
            return;
        }
        let Ok(client) = client else { continue };
        if shared.state().is_disconnected {
            continue;
        }
        let cut = shared.state().cut_of(&client, relay);
        if matches!(cut, Some(Cut::Closed | Cut::NewClosed)) {
            continue;
        }
        // If the target refuses the connection, the client's is closed as well.
        if let Ok(server) = TcpStream::connect(target) {
            relay_connection(client, server, cut == Some(Cut::Silent), shared);
        }
    }
}

fn relay_connection(client: TcpStream, server: TcpStream, is_silent: bool, shared: &Arc<Shared>) {
    let copy = |it: &TcpStream| it.try_clone().expect("an open connection can be cloned");
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let mut state = shared.state();
    state.last_connection += 1;
    let number = state.last_connection;
    if is_silent {
        state.silenced.push(number);
    }
    state.open.push((number, copy(&client), copy(&server)));
    drop(state);
    start_forwarding(number, copy(&client), copy(&server), shared);
    start_forwarding(number, server, client, shared);
}

/// Forwards bytes in one direction, with one thread that reads and one that delivers.
fn start_forwarding(number: u64, from: TcpStream, to: TcpStream, shared: &Arc<Shared>) {
    let (sender, chunks) = channel();
    let reading = shared.clone();
    let delivering = shared.clone();
    thread::spawn(move || read(from, &sender, &reading));
    thread::spawn(move || deliver(number, to, &chunks, &delivering));
}

fn read(mut from: TcpStream, chunks: &Sender<(Instant, Vec<u8>)>, shared: &Shared) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(size @ 1..) = from.read(&mut buffer) {
        let due = Instant::now() + shared.state().delay;
        if chunks.send((due, buffer[..size].to_vec())).is_err() {
            return;
        }
    }
}

fn deliver(number: u64, mut to: TcpStream, chunks: &Receiver<(Instant, Vec<u8>)>, shared: &Shared) {
    for (due, chunk) in chunks {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if shared.may_deliver(number) && to.write_all(&chunk).is_err() {
            break;
        }
    }
    // The close of a connection that delivers nothing is not forwarded either.
    if shared.may_deliver(number) {
        let _ = to.shutdown(Shutdown::Both);
        shared.update(|it| it.open.retain(|open| open.0 != number));
    }
}

/// The relays between the instances of a deployment, one for each direction and port.
#[derive(Debug, Default)]
pub struct Network {
    links: Vec<Link>,
}

/// The relays from one instance to another.
#[derive(Debug)]
pub struct Link {
    /// Id of the instance that connects.
    pub from: String,
    /// Id of the instance that accepts the connections.
    pub to: String,
    /// Relay to its `peers` address.
    pub peers: Relay,
    /// Relay to its `internal` address.
    pub internal: Relay,
}

impl Network {
    /// Adds the relays from `from` to `to`.
    pub fn add(&mut self, from: &str, to: &str, peers: SocketAddr, internal: SocketAddr) {
        let (peers, internal) = (Relay::start(peers), Relay::start(internal));
        self.links.push(Link { from: from.into(), to: to.into(), peers, internal });
    }

    /// The relays from `from` to `to`; `None` for an instance and itself.
    pub fn get(&self, from: &str, to: &str) -> Option<&Link> {
        self.links.iter().find(|it| it.from == from && it.to == to)
    }

    /// Delays all traffic between an instance that satisfies `is_inside` and one that does not, one way.
    pub fn delay_across(&self, is_inside: impl Fn(&str) -> bool, delay: Duration) {
        for it in self.across(is_inside) {
            it.peers.delay(delay);
            it.internal.delay(delay);
        }
    }

    /// Delays all traffic between two instances that both satisfy `is_member`, one way.
    pub fn delay_between(&self, is_member: impl Fn(&str) -> bool, delay: Duration) {
        for it in self.links.iter().filter(|it| is_member(&it.from) && is_member(&it.to)) {
            it.peers.delay(delay);
            it.internal.delay(delay);
        }
    }

    /// Partitions the instances that satisfy `is_inside` from the others, or heals the partition.
    ///
    /// Holds the traffic in both directions; the connections stay open.
    pub fn partition(&self, is_inside: impl Fn(&str) -> bool, is_held: bool) {
        for it in self.across(is_inside) {
            it.peers.hold(is_held);
            it.internal.hold(is_held);
        }
    }

    /// Partitions only the messages between these instances; forwarded requests still pass. Or heals
    /// the partition.
    pub fn partition_messages(&self, is_inside: impl Fn(&str) -> bool, is_held: bool) {
        self.across(is_inside).for_each(|it| it.peers.hold(is_held));
    }

    /// Black-holes the open connections from instances that satisfy `is_from` to ones that satisfy
    /// `is_to`.
    pub fn blackhole_open(&self, is_from: impl Fn(&str) -> bool, is_to: impl Fn(&str) -> bool) {
        for it in self.links.iter().filter(|it| is_from(&it.from) && is_to(&it.to)) {
            it.peers.blackhole_open();
            it.internal.blackhole_open();
        }
    }

    fn across(&self, is_inside: impl Fn(&str) -> bool) -> impl Iterator<Item = &Link> {
        self.links.iter().filter(move |it| is_inside(&it.from) != is_inside(&it.to))
    }
}
