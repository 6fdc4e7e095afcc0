//! Links: TCP connections between processes that carry framed messages both ways.
//!
//! A frame is its length as four bytes, little endian, and a postcard message. A link never blocks
//! its users: messages go into a bounded queue, and a link whose queue is full is closed, since its
//! peer has stopped reading. Silence is noticed by pings of the side that opened the link.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use medlarlug::protocol::{GroupReply, GroupRequest};
use medlarlug_core::{
    gateway::{
        cold::Evacuations,
        contacts::{Card, RegionWait, Status},
        table::TableVersion,
        upstreams::{Birth, Pulse, Renewal, Upstream},
    },
    ids::{InstanceId, UpstreamId, ZoneId},
    replication,
    suspects::Fact,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task,
    time::timeout,
};

/// Time between two pings; a peer that was cut off is noticed after a few.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Silence after which a link is given up, and a new connection is tried: three pings and the way.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a connection to open: a few round trips between regions, with a lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest frame, in bytes.
const MAX_FRAME_BYTES: u32 = 16 << 20;
/// Messages that wait to be written at most.
const QUEUE_MESSAGES: usize = 1_024;

/// What a keeper sends to those that opened a link to it. Only what is new is there.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Counts the news on this link; the receiver answers with [`Message::Acknowledged`].
    pub number: u64,
    /// Upstreams that are new or have changed, and the age of what they said, in milliseconds.
    pub upstreams: Vec<(Upstream, u32)>,
    /// To keepers: upstreams that renewed themselves at the sender.
    pub renewals: Vec<Renewal>,
    /// To entry instances: that all upstreams were heard, but for some.
    pub pulse: Option<Pulse>,
    /// The replicated state.
    pub head: Option<PublicationHead>,
    /// With the replicated state: the zones that were evacuated before, and how long ago that was
    /// withdrawn at most, in milliseconds.
    pub restored: Vec<(ZoneId, u32)>,
    /// Instances that are new or have changed, whether each is ready, and for how long it was
    /// silent, in milliseconds.
    pub contacts: Vec<(Card, bool, u32)>,
    /// All live instances, and for how long each was silent, in milliseconds.
    pub pulses: Vec<(InstanceId, u32)>,
    /// Predicted waits by region and service.
    pub waits: Vec<RegionWait>,
    /// What is known of contents that crash upstreams.
    pub facts: Vec<Fact>,
}

impl PublicationHead {
    /// The evacuated zones.
    pub fn evacuations(&self) -> Evacuations<'_> {
        Evacuations { round: self.round, zones: &self.evacuated }
    }
}

/// The replicated state without its document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationHead {
    /// Version of the table.
    pub version: TableVersion,
    /// Number of changes of `evacuated`.
    pub round: u64,
    /// Evacuated zones, sorted.
    pub evacuated: Vec<ZoneId>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a link, from the side that opened it.
    Hello(Card),
    /// Asks for a sign of life and tells the sender's state.
    Ping {
        /// The sender's state.
        status: Status,
        /// Whether the sender wants renewals, pulses and waits from this keeper, not only changes.
        is_primary: bool,
    },
    /// The answer to a ping.
    Pong,
    /// From a keeper.
    #[serde(rename = "News")]
    Update(Update),
    /// Everything up to the news with this number was taken in.
    #[serde(rename = "Seen")]
    Acknowledged(u64),
    /// Asks a keeper for the table, if it has this version or a higher one.
    Fetch(TableVersion),
    /// The answer to [`Message::Fetch`].
    Document {
        /// Version of the table.
        version: TableVersion,
        /// The table, as its operator sent it.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// From an entry instance: an incarnation of an upstream has said in an answer that it is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation.
        birth: Birth,
    },
    /// From an entry instance: what it has learned of contents that crash upstreams.
    Facts(Vec<Fact>),
    /// Between the replicas of the publication group.
    Replication(replication::Message),
    /// A request to the leader of the publication group.
    Call {
        /// Number of the call at the sender.
        call: u64,
        /// The request.
        request: GroupRequest,
    },
    /// The answer to a call.
    Reply {
        /// Number of the call at the receiver of this reply.
        call: u64,
        /// The answer.
        reply: GroupReply,
    },
}

/// Why a link ended or didn't open.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection didn't open.
    #[error("failed to connect to {address}")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// The system's error; `None` when the time ran out.
        #[source]
        source: Option<io::Error>,
    },
    /// The connection failed or was closed.
    #[error("the connection ended")]
    Disconnected(#[source] io::Error),
    /// Nothing was heard for [`LINK_TIMEOUT`].
    #[error("the peer was silent for {}s", LINK_TIMEOUT.as_secs_f32())]
    Unresponsive,
    /// A frame is longer than permitted.
    #[error("a frame of {bytes} bytes")]
    FrameTooLong {
        /// Its length.
        bytes: u32,
    },
    /// A frame holds no message.
    #[error("a frame holds no message")]
    Decode(#[source] postcard::Error),
    /// The peer began with something else than its introduction.
    #[error("the peer didn't introduce itself")]
    NoIntroduction,
    /// The process gave the link up.
    #[error("the link was closed by this process")]
    Closed,
}

/// The sending side of a link. The link closes when all senders are dropped.
#[derive(Debug, Clone)]
pub struct LinkSender(mpsc::Sender<Bytes>);

impl LinkSender {
    /// Queues a message. Returns whether the link still works; a full queue means that it
    /// doesn't.
    pub fn send(&self, message: &Message) -> bool {
        match encode(message) {
            Ok(frame) => self.0.try_send(frame).is_ok(),
            Err(error) => {
                tracing::error!(%error, "failed to encode a message");
                false
            }
        }
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// The receiving side of a link.
#[derive(Debug)]
pub struct LinkReceiver(OwnedReadHalf);

impl LinkReceiver {
    /// The next message.
    ///
    /// # Errors
    ///
    /// The link ended, was silent for [`LINK_TIMEOUT`], or carries no messages.
    pub async fn receive(&mut self) -> Result<Message, LinkError> {
        match timeout(LINK_TIMEOUT, self.read()).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::Unresponsive),
        }
    }

    async fn read(&mut self) -> Result<Message, LinkError> {
        let bytes = self.0.read_u32_le().await.map_err(LinkError::Disconnected)?;
        if bytes > MAX_FRAME_BYTES {
            return Err(LinkError::FrameTooLong { bytes });
        }
        let mut frame = vec![0; bytes as usize];
        self.0.read_exact(&mut frame).await.map_err(LinkError::Disconnected)?;
        postcard::from_bytes(&frame).map_err(LinkError::Decode)
    }
}

/// Opens a link and introduces this process.
///
/// # Errors
///
/// The connection doesn't open in time.
pub async fn open(
    address: SocketAddr,
    card: Card,
) -> Result<(LinkSender, LinkReceiver), LinkError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(LinkError::Connect { address, source: Some(source) }),
        Err(_) => return Err(LinkError::Connect { address, source: None }),
    };
    let (sender, receiver) = split(stream);
    sender.send(&Message::Hello(card));
    Ok((sender, receiver))
}

/// Takes a connection in that another process opened, and learns who it is.
///
/// # Errors
///
/// The peer doesn't introduce itself in time.
pub async fn accept(stream: TcpStream) -> Result<(Card, LinkSender, LinkReceiver), LinkError> {
    let (sender, mut receiver) = split(stream);
    match receiver.receive().await? {
        Message::Hello(card) => Ok((card, sender, receiver)),
        _ => Err(LinkError::NoIntroduction),
    }
}

fn split(stream: TcpStream) -> (LinkSender, LinkReceiver) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to switch Nagle's algorithm off");
    }
    let (read, write) = stream.into_split();
    let (sender, queue) = mpsc::channel(QUEUE_MESSAGES);
    task::spawn_local(write_frames(write, queue));
    (LinkSender(sender), LinkReceiver(read))
}

/// Writes frames until the queue or the connection ends; what waits goes out in one write.
async fn write_frames(mut write: OwnedWriteHalf, mut queue: mpsc::Receiver<Bytes>) {
    let mut batch = Vec::new();
    while let Some(first) = queue.recv().await {
        batch.clear();
        batch.extend_from_slice(&first);
        while let Ok(next) = queue.try_recv() {
            batch.extend_from_slice(&next);
        }
        if write.write_all(&batch).await.is_err() {
            // The reading side reports the end of the connection.
            return;
        }
    }
}

fn encode(message: &Message) -> Result<Bytes, postcard::Error> {
    let frame = postcard::to_extend(message, vec![0; 4])?;
    let length = u32::try_from(frame.len() - 4).unwrap_or(u32::MAX);
    let mut frame = frame;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    Ok(frame.into())
}
