//! Links between the processes of a deployment: one-way messages over nng.
//!
//! A process receives all messages on one `Pull` socket and sends to each peer over a separate `Push`
//! socket, which is opened for the first message to the peer. Sending never blocks: when a peer does
//! not accept messages, the queue of its socket fills and further messages are dropped, which every
//! core tolerates. nng does not detect an unresponsive connection, so a core that misses the heartbeats
//! of a peer requests [`Links::reconnect`].

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use medlarlug_core::ids::InstanceId;
use nng::{
    Aio, AioResult, Protocol, Socket,
    options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize},
};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::protocol::{
    DeploymentKeys, Message,
    frame::{self, Envelope, FrameError, MAX_FRAME_BYTES},
};

/// Capacity of the send queue of each peer; further messages are dropped.
const SEND_QUEUE_MESSAGES: i32 = 256;

/// Capacity of the queue between nng and the event loop; further messages are dropped.
const RECEIVE_QUEUE_MESSAGES: usize = 4096;

/// Shortest and longest delay between two attempts to connect.
const RECONNECT_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// An error of the links.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The own address can't be bound.
    #[error("failed to listen for peers at {address}")]
    Listen {
        /// Address at which this process was to accept messages of its peers.
        address: SocketAddr,
        /// Error of nng.
        #[source]
        source: nng::Error,
    },
    /// The receiver is not among the peers.
    #[error("{peer} is not a known peer")]
    UnknownPeer {
        /// The receiver.
        peer: InstanceId,
    },
    /// The send queue of the peer is full.
    #[error("the send queue to {peer} is full")]
    Full {
        /// The receiver.
        peer: InstanceId,
    },
    /// The message can't be encoded as a frame.
    #[error("failed to encode a message")]
    Frame(#[from] FrameError),
    /// nng failed to open or configure a socket.
    #[error("failed to set up a link")]
    Library(#[from] nng::Error),
}

struct Peer {
    address: SocketAddr,
    /// `None` until the first message is sent.
    link: Option<Link>,
}

struct Link {
    socket: Socket,
    opened: Instant,
}

impl Peer {
    /// Returns the link and opens it if there is none; it connects in the background.
    fn link(&mut self) -> Result<&mut Link, nng::Error> {
        let link = match self.link.take() {
            Some(link) => link,
            None => Link { socket: dial(self.address)?, opened: Instant::now() },
        };
        Ok(self.link.insert(link))
    }
}

/// The sending side of the links.
pub struct Links {
    own: InstanceId,
    keys: DeploymentKeys,
    peers: Vec<(InstanceId, Peer)>,
    // Never read, but has to live as long as the links: dropping it ends receiving.
    _receiver: (Socket, Aio),
}

/// The receiving side of the links.
pub struct Incoming {
    own: InstanceId,
    keys: DeploymentKeys,
    frames: mpsc::Receiver<nng::Message>,
}

impl Links {
    /// Listens on `address` for messages to `own`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or nng can't open a socket.
    pub fn listen(
        own: InstanceId,
        keys: DeploymentKeys,
        address: SocketAddr,
    ) -> Result<(Links, Incoming), LinkError> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
        socket
            .listen(&format!("tcp://{address}"))
            .map_err(|source| LinkError::Listen { address, source })?;
        let (sender, frames) = mpsc::channel(RECEIVE_QUEUE_MESSAGES);
        let receiving = socket.clone();
        let aio = Aio::new(move |aio, result| match result {
            AioResult::Recv(Ok(frame)) => {
                if sender.try_send(frame).is_err() {
                    metrics::counter!(crate::transport::DROPPED_MESSAGES).increment(1);
                }
                let _ = receiving.recv_async(&aio);
            }
            AioResult::Recv(Err(nng::Error::Closed)) => {}
            _ => {
                let _ = receiving.recv_async(&aio);
            }
        })?;
        socket.recv_async(&aio)?;
        let incoming = Incoming { own: own.clone(), keys: keys.clone(), frames };
        Ok((Links { own, keys, peers: Vec::new(), _receiver: (socket, aio) }, incoming))
    }

    /// Adds a peer, or changes its address, which closes the connection to the old one.
    ///
    /// The connection is opened for the first message, because most processes of a large deployment
    /// never send to most others.
    pub fn add_peer(&mut self, peer: InstanceId, address: SocketAddr) {
        let added = Peer { address, link: None };
        match self.peers.binary_search_by(|it| it.0.cmp(&peer)) {
            Ok(found) if self.peers[found].1.address == address => {}
            Ok(found) => self.peers[found].1 = added,
            Err(index) => self.peers.insert(index, (peer, added)),
        }
    }

    /// Replaces the connection to a peer by a new one; messages in its send queue are lost.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unknown or nng can't open a socket.
    pub fn reconnect(&mut self, peer: &InstanceId) -> Result<(), LinkError> {
        let peer = find_peer(&mut self.peers, peer)?;
        if let Some(link) = peer.link.take() {
            link.socket.close();
        }
        peer.link()?;
        Ok(())
    }

    /// Time since the connection to a peer was opened or replaced; `None` when there is none.
    pub fn connection_age(&self, peer: &InstanceId) -> Option<Duration> {
        let found = self.peers.binary_search_by(|it| it.0.cmp(peer)).ok()?;
        Some(self.peers[found].1.link.as_ref()?.opened.elapsed())
    }

    /// Queues `message` for `peer` without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unknown, its queue is full, or the message is too long.
    pub fn send(&mut self, peer: &InstanceId, message: Message) -> Result<(), LinkError> {
        let envelope = Envelope { from: self.own.clone(), to: peer.clone(), message };
        let bytes = frame::encode(&self.keys, &envelope)?;
        metrics::counter!(crate::transport::SENT_BYTES).increment(bytes.len() as u64);
        let link = find_peer(&mut self.peers, peer)?.link()?;
        link.socket
            .try_send(nng::Message::from(&bytes[..]))
            .map_err(|_| LinkError::Full { peer: peer.clone() })
    }
}

impl Incoming {
    /// Waits for the next authenticated message to this instance; `None` once the links are dropped.
    ///
    /// Frames that are not authenticated, or are for another instance, are counted and dropped.
    pub async fn receive(&mut self) -> Option<(InstanceId, Message)> {
        loop {
            let bytes = self.frames.recv().await?;
            metrics::counter!(crate::transport::RECEIVED_BYTES).increment(bytes.len() as u64);
            match frame::decode(&self.keys, &self.own, &bytes) {
                Ok(envelope) => return Some((envelope.from, envelope.message)),
                Err(error) => tracing::warn!(%error, "frame refused"),
            }
            metrics::counter!(crate::transport::REFUSED_FRAMES).increment(1);
        }
    }
}

fn find_peer<'a>(
    peers: &'a mut [(InstanceId, Peer)],
    peer: &InstanceId,
) -> Result<&'a mut Peer, LinkError> {
    match peers.binary_search_by(|it| it.0.cmp(peer)) {
        Ok(found) => Ok(&mut peers[found].1),
        Err(_) => Err(LinkError::UnknownPeer { peer: peer.clone() }),
    }
}

fn dial(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    let [min_delay, max_delay] = RECONNECT_DELAYS;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(min_delay))?;
    socket.set_opt::<ReconnectMaxTime>(Some(max_delay))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
