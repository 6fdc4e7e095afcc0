//! A TCP relay that stands between two processes and delays, cuts or silences their connections.
//!
//! A *held* relay takes connections and bytes in and delivers nothing until it is released, as a
//! network partition that drops packets looks from both ends. *Forgotten* connections stay open
//! for good without delivering anything, while later ones work. A *cut* relay closes every
//! connection at once.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    is_held: bool,
    is_cut: bool,
    is_closed: bool,
    /// Number of the newest connection.
    last: u64,
    /// Connections up to this number deliver nothing any more.
    forgotten: u64,
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

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.changed.notify_all();
    }

    /// Waits until the relay is not held; tells whether the connection still delivers.
    fn may_deliver(&self, number: u64) -> bool {
        let mut state = self.state();
        while state.is_held && !state.is_closed && number > state.forgotten {
            state = self.changed.wait(state).expect("no relay thread panics");
        }
        !state.is_closed && number > state.forgotten
    }
}

impl Relay {
    /// Starts a relay to `target` on an address of its own.
    pub fn start(target: SocketAddr) -> Relay {
        let listener = listen();
        let address = listener.local_addr().expect("the address of a listener");
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, target, &accepting));
        Relay { address, shared }
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays every byte, one way, from now on.
    pub fn delay(&self, delay: Duration) {
        self.shared.change(|it| it.delay = delay);
    }

    /// Delivers nothing, or goes on and delivers what has waited.
    pub fn hold(&self, is_held: bool) {
        self.shared.change(|it| it.is_held = is_held);
    }

    /// Leaves the open connections open and delivers nothing on them any more.
    pub fn blackhole_open(&self) {
        self.shared.change(|it| it.forgotten = it.last);
    }

    /// Closes every connection and every later one at once, or takes them again.
    pub fn set_disconnected(&self, is_cut: bool) {
        self.shared.change(|it| {
            it.is_cut = is_cut;
            it.close_all();
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.change(|it| {
            it.is_closed = true;
            it.close_all();
        });
        // Wakes the accepting thread, which ends.
        let _ = TcpStream::connect(self.address);
    }
}

impl State {
    fn close_all(&mut self) {
        for (_, near, far) in self.open.drain(..) {
            let _ = near.shutdown(Shutdown::Both);
            let _ = far.shutdown(Shutdown::Both);
        }
    }
}

/// Listens at a free address; another process may take one between the check and the bind.
fn listen() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(crate::free_address()) {
            return listener;
        }
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    for near in listener.incoming() {
        if shared.state().is_closed {
            return;
        }
        let Ok(near) = near else { continue };
        if shared.state().is_cut {
            continue;
        }
        // A target that does not listen refuses the connection to the relay as well.
        if let Ok(far) = TcpStream::connect(target) {
            join(near, far, shared);
        }
    }
}

fn join(near: TcpStream, far: TcpStream, shared: &Arc<Shared>) {
    let copy = |it: &TcpStream| it.try_clone().expect("a handle of an open connection");
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let mut state = shared.state();
    state.last += 1;
    let number = state.last;
    state.open.push((number, copy(&near), copy(&far)));
    drop(state);
    pump(number, copy(&near), copy(&far), shared);
    pump(number, far, near, shared);
}

/// Carries bytes in one direction, by a thread that reads and one that delivers.
fn pump(number: u64, from: TcpStream, to: TcpStream, shared: &Arc<Shared>) {
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
    // The end of a connection that delivers nothing is not delivered either.
    if shared.may_deliver(number) {
        let _ = to.shutdown(Shutdown::Both);
        shared.change(|it| it.open.retain(|open| open.0 != number));
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
    /// The instance that connects.
    pub from: String,
    /// The instance that is connected to.
    pub to: String,
    /// Stands before its `peers` address.
    pub peers: Relay,
    /// Stands before its `internal` address.
    pub internal: Relay,
}

impl Network {
    /// Adds the relays from `from` to `to`.
    pub fn add(&mut self, from: &str, to: &str, peers: SocketAddr, internal: SocketAddr) {
        let (peers, internal) = (Relay::start(peers), Relay::start(internal));
        self.links.push(Link { from: from.into(), to: to.into(), peers, internal });
    }

    /// The relays from `from` to `to`.
    pub fn get(&self, from: &str, to: &str) -> Option<&Link> {
        self.links.iter().find(|it| it.from == from && it.to == to)
    }

    /// Delays everything between instances on both sides of `is_inside`, one way.
    pub fn delay_across(&self, is_inside: impl Fn(&str) -> bool, delay: Duration) {
        for it in self.across(is_inside) {
            it.peers.delay(delay);
            it.internal.delay(delay);
        }
    }

    /// Delays everything between two instances that both `is_member`, one way.
    pub fn delay_between(&self, is_member: impl Fn(&str) -> bool, delay: Duration) {
        for it in self.links.iter().filter(|it| is_member(&it.from) && is_member(&it.to)) {
            it.peers.delay(delay);
            it.internal.delay(delay);
        }
    }

    /// Partitions the instances inside from the others, silently and both ways, or heals it.
    pub fn partition(&self, is_inside: impl Fn(&str) -> bool, is_held: bool) {
        for it in self.across(is_inside) {
            it.peers.hold(is_held);
            it.internal.hold(is_held);
        }
    }

    /// Partitions the instances inside from the others but for forwarded requests, or heals it.
    pub fn partition_messages(&self, is_inside: impl Fn(&str) -> bool, is_held: bool) {
        self.across(is_inside).for_each(|it| it.peers.hold(is_held));
    }

    /// Silences the open connections from instances that `is_from` to ones that `is_to`.
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
