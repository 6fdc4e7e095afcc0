//! Links between the system's own processes: one-way messages over nng.
//!
//! A process receives everything on one `Pull` socket and sends to each peer over a `Push` socket
//! of its own, which is made with the first message to the peer. Sending never blocks: when a peer does not take messages, the queue of its socket
//! fills and further messages are dropped, which every core tolerates. nng does not notice a
//! connection that has gone silent, so a core that misses a peer's heartbeats asks for
//! [`Links::reconnect`].

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

/// Messages that wait for a peer at most; further ones are dropped.
const SEND_QUEUE_MESSAGES: i32 = 256;

/// Received messages that wait for the loop at most; further ones are dropped.
const RECEIVE_QUEUE_MESSAGES: usize = 4096;

/// Shortest and longest pause before another try to connect.
const RECONNECT_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// A failure of the links.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The own address can't be listened at.
    #[error("failed to listen for peers at {address}")]
    Listen {
        /// The own address.
        address: SocketAddr,
        /// The library's error.
        #[source]
        source: nng::Error,
    },
    /// The receiver is not among the peers.
    #[error("{peer} is no known peer")]
    UnknownPeer {
        /// The receiver.
        peer: InstanceId,
    },
    /// The queue towards the peer is full.
    #[error("{peer} takes no messages at the moment")]
    Full {
        /// The receiver.
        peer: InstanceId,
    },
    /// The message makes no frame.
    #[error("failed to encode a message")]
    Frame(#[from] FrameError),
    /// The library failed.
    #[error("failed to set a link up")]
    Library(#[from] nng::Error),
}

struct Peer {
    address: SocketAddr,
    /// `None` until something is sent.
    link: Option<Link>,
}

struct Link {
    socket: Socket,
    since: Instant,
}

impl Peer {
    /// The link, made now if there is none yet; it connects in the background.
    fn link(&mut self) -> Result<&mut Link, nng::Error> {
        let link = match self.link.take() {
            Some(link) => link,
            None => Link { socket: dial(self.address)?, since: Instant::now() },
        };
        Ok(self.link.insert(link))
    }
}

/// The sending side of the links.
pub struct Links {
    own: InstanceId,
    keys: DeploymentKeys,
    peers: Vec<(InstanceId, Peer)>,
    // Held so that both live as long as the links.
    _receiver: (Socket, Aio),
}

/// The receiving side of the links.
pub struct Incoming {
    own: InstanceId,
    keys: DeploymentKeys,
    frames: mpsc::Receiver<nng::Message>,
}

impl Links {
    /// Listens at `address` for messages to `own`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened at.
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

    /// Notes where a peer listens; a peer at a new address replaces the former one.
    ///
    /// The connection is made with the first message: most processes of a large deployment never
    /// send to most others.
    pub fn add_peer(&mut self, peer: InstanceId, address: SocketAddr) {
        let added = Peer { address, link: None };
        match self.peers.binary_search_by(|it| it.0.cmp(&peer)) {
            Ok(found) if self.peers[found].1.address == address => {}
            Ok(found) => self.peers[found].1 = added,
            Err(place) => self.peers.insert(place, (peer, added)),
        }
    }

    /// Replaces the connection to a peer by a new one; messages that wait in its queue are lost.
    ///
    /// # Errors
    ///
    /// Fails when the peer is not known or the library can't make a socket.
    pub fn reconnect(&mut self, peer: &InstanceId) -> Result<(), LinkError> {
        let peer = find(&mut self.peers, peer)?;
        if let Some(link) = peer.link.take() {
            link.socket.close();
        }
        peer.link()?;
        Ok(())
    }

    /// Time since the connection to a peer was made or replaced; `None` when there is none.
    pub fn connection_age(&self, peer: &InstanceId) -> Option<Duration> {
        let found = self.peers.binary_search_by(|it| it.0.cmp(peer)).ok()?;
        Some(self.peers[found].1.link.as_ref()?.since.elapsed())
    }

    /// Sends `message` to `peer` without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the peer is not known, its queue is full, or the message is too long.
    pub fn send(&mut self, peer: &InstanceId, message: Message) -> Result<(), LinkError> {
        let envelope = Envelope { from: self.own.clone(), to: peer.clone(), message };
        let bytes = frame::encode(&self.keys, &envelope)?;
        metrics::counter!(crate::transport::SENT_BYTES).increment(bytes.len() as u64);
        let link = find(&mut self.peers, peer)?.link()?;
        link.socket
            .try_send(nng::Message::from(&bytes[..]))
            .map_err(|_| LinkError::Full { peer: peer.clone() })
    }
}

impl Incoming {
    /// The next authenticated message to this instance.
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

fn find<'a>(
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
    let [shortest, longest] = RECONNECT_PAUSES;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(shortest))?;
    socket.set_opt::<ReconnectMaxTime>(Some(longest))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
