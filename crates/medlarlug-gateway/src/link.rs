//! Links: TCP connections between processes that carry framed messages in both directions.
//!
//! A frame is its length as four little-endian bytes, followed by a postcard message. Sending never
//! blocks: messages go into a bounded queue, and a link whose queue is full is closed, because its
//! peer has stopped reading. The side that opened the link sends pings, by which both sides detect
//! an unresponsive peer.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use medlarlug::protocol::{GroupReply, GroupRequest};
use medlarlug_core::{
    gateway::{
        cold::Evacuations,
        contacts::{InstanceInfo, RegionWait, Status},
        software_version::SoftwareVersion,
        table::TableVersion,
        table_lease::TableReport,
        upstreams::{Birth, Heartbeat, Renewal, Upstream},
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

use crate::packed::PackedDocument;

/// Time between two pings. Several are sent within [`LINK_TIMEOUT`].
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message, or any further part of a long one, after which a link is closed and reopened:
/// three pings and the time that one takes to arrive.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection: a few round trips between regions, with one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most fields at the end of a message that an earlier build may have left out. Each decodes as empty
/// from one byte of zero.
const MISSING_FIELDS: usize = 2;
const MAX_FRAME_BYTES: u32 = 16 << 20;
/// Capacity of the send queue of a link, in messages.
const QUEUE_MESSAGES: usize = 1_024;
/// Length of the frames in the send queue of a link above which a further message is refused, in bytes.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Length up to which queued frames are copied together for one write, in bytes. A longer frame is
/// written by itself.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Most queued frames that are copied together.
const MAX_BATCH_FRAMES: usize = 64;

/// An update from a keeper to a process that opened a link to it. It holds only what has changed
/// since the update before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Sequence number of the update on this link; the receiver confirms it with
    /// [`Message::Acknowledged`].
    pub number: u64,
    /// Upstreams that are new or have changed, each with the age of its newest announcement in
    /// milliseconds.
    pub upstreams: Vec<(Upstream, u32)>,
    /// To keepers: upstreams that renewed their announcement at the sender.
    pub renewals: Vec<Renewal>,
    /// To entry instances: all upstreams have renewed their announcement, except for those listed.
    #[serde(rename = "pulse")]
    pub heartbeat: Option<Heartbeat>,
    /// The replicated state, if it has changed.
    pub head: Option<PublicationHead>,
    /// Sent with `head`: the zones that were evacuated earlier, each with the time since the
    /// evacuation was withdrawn, in milliseconds. The time is an upper bound.
    pub restored: Vec<(ZoneId, u32)>,
    /// Instances that are new or have changed, whether each is ready, and the time since its last
    /// message in milliseconds.
    pub contacts: Vec<(InstanceInfo, bool, u32)>,
    /// All live instances, each with the time since its last message in milliseconds.
    #[serde(rename = "pulses")]
    pub instance_heartbeats: Vec<(InstanceId, u32)>,
    /// Predicted waiting times by region and service.
    pub waits: Vec<RegionWait>,
    /// Crashes and clearances of contents that crash upstreams.
    pub facts: Vec<Fact>,
    /// Software versions of `upstreams`, in the same order. Earlier builds neither send nor read it,
    /// so it has to remain behind the others. No field may follow: some builds send a list of regions there.
    pub software: Vec<Option<SoftwareVersion>>,
}

impl Update {
    /// Adds an upstream and the age of its newest announcement.
    pub fn push_upstream(&mut self, upstream: Upstream, age_ms: u32) {
        self.software.push(upstream.software.clone());
        self.upstreams.push((upstream, age_ms));
    }

    /// Takes the upstreams with the ages of their newest announcements.
    pub fn take_upstreams(&mut self) -> impl Iterator<Item = (Upstream, Duration)> + use<> {
        let upstreams = std::mem::take(&mut self.upstreams);
        let software = std::mem::take(&mut self.software).into_iter();
        let software = software.chain(std::iter::repeat(None));
        upstreams.into_iter().zip(software).map(|((upstream, age_ms), software)| {
            (Upstream { software, ..upstream }, Duration::from_millis(age_ms.into()))
        })
    }
}

impl PublicationHead {
    /// Returns the evacuated zones with their change counter.
    pub fn evacuations(&self) -> Evacuations<'_> {
        Evacuations { round: self.round, zones: &self.evacuated }
    }
}

/// The replicated state without the document of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationHead {
    /// Version of the route table.
    pub version: TableVersion,
    /// Number of changes of `evacuated` so far.
    pub round: u64,
    /// Evacuated zones, sorted.
    pub evacuated: Vec<ZoneId>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a link, sent by the side that opened it.
    Hello(InstanceInfo),
    /// Requests a sign of life and reports the sender's state.
    Ping {
        /// Readiness and spare capacity of the sender.
        status: Status,
        /// Whether the sender wants renewals, heartbeats and waiting times from this keeper in
        /// addition to changes.
        is_primary: bool,
        /// Number of the ping on this link; 0 if its answer does not matter. Earlier builds neither
        /// send nor read it, so it has to remain at the end.
        number: u64,
    },
    /// The answer to a ping. Earlier builds neither send nor read its fields.
    Pong {
        /// The number of the ping.
        number: u64,
        /// What the sender knows about the newest table, if it is a keeper.
        table: TableReport,
    },
    /// Changes since the update before, from a keeper.
    #[serde(rename = "News")]
    Update(Update),
    /// Confirms that all updates up to this sequence number have been applied.
    #[serde(rename = "Seen")]
    Acknowledged(u64),
    /// Requests the table from a keeper that has this version or a newer one.
    Fetch {
        /// The version.
        version: TableVersion,
        /// Whether the sender reads [`Message::PackedDocument`]. Earlier builds neither send nor read it, so
        /// it has to remain at the end.
        accepts_packed: bool,
    },
    /// The answer to [`Message::Fetch`].
    Document {
        /// Version of the table; it may be newer than the requested one.
        version: TableVersion,
        /// The document as the operator published it.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// From an entry instance: this incarnation of an upstream announced in an answer that it is
    /// leaving.
    Leaving {
        /// Id of the upstream.
        upstream: UpstreamId,
        /// Its incarnation; a later one is not affected.
        birth: Birth,
    },
    /// From an entry instance: facts about contents that crash upstreams.
    Facts(Vec<Fact>),
    /// Between the replicas of the publication group.
    Replication(replication::Message),
    /// A request to the leader of the publication group.
    Call {
        /// Number of the request, unique for its sender.
        call: u64,
        /// The operation to carry out.
        request: GroupRequest,
        /// For a change of the evacuated zones: how many the sender knew when it received the order.
        /// Earlier builds neither send nor read it, so it has to remain at the end.
        known_round: Option<u64>,
    },
    /// The answer to [`Message::Call`].
    Reply {
        /// The number that the receiver of this message gave the request.
        call: u64,
        /// The result, or the reason why the request was not carried out.
        reply: GroupReply,
    },
    /// The answer to a [`Message::Fetch`] that accepts it. Earlier builds can't read it.
    PackedDocument {
        /// Version of the table; it may be newer than the requested one.
        version: TableVersion,
        /// The document as the operator published it, compressed.
        document: PackedDocument,
    },
}

/// Why a link was closed or could not be opened.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be opened.
    #[error("failed to connect to {address}")]
    Connect {
        /// The peer's internal address.
        address: SocketAddr,
        /// The error of the system; `None` if the connection attempt timed out.
        #[source]
        source: Option<io::Error>,
    },
    /// The connection failed or was closed by the peer.
    #[error("connection failed or was closed by the peer")]
    Disconnected(#[source] io::Error),
    /// No message arrived within [`LINK_TIMEOUT`].
    #[error("no message from the peer for {}s", LINK_TIMEOUT.as_secs_f32())]
    Unresponsive,
    /// A frame exceeds the maximum length, so the peer does not speak this protocol.
    #[error("frame too long: {bytes} bytes")]
    FrameTooLong {
        /// The length that the frame announces.
        bytes: u32,
    },
    /// The content of a frame can't be decoded.
    #[error("failed to decode a message")]
    Decode(#[source] postcard::Error),
    /// The first message of the peer was not [`Message::Hello`].
    #[error("the first message of the peer was not its introduction")]
    NoIntroduction,
    /// This process closed the link, because a message could not be queued.
    #[error("link closed by this process")]
    Closed,
}

/// The sending side of a link. The link closes when all senders are dropped.
#[derive(Debug, Clone)]
pub struct LinkSender {
    frames: mpsc::Sender<Bytes>,
    load: Rc<QueueLoad>,
    received: Rc<Cell<u64>>,
}

/// How full the send queue of a link is.
#[derive(Debug, Default)]
struct QueueLoad {
    /// Length of the frames that have not been written yet.
    bytes: Cell<usize>,
    /// Whether a message did not fit. The link then ends: its peer lacks that message, and gets
    /// everything anew over the next link.
    has_overflowed: Cell<bool>,
}

impl QueueLoad {
    /// Writes queued frames.
    async fn write(&self, connection: &mut OwnedWriteHalf, content: &[u8]) -> io::Result<()> {
        connection.write_all(content).await?;
        self.bytes.set(self.bytes.get() - content.len());
        Ok(())
    }
}

impl LinkSender {
    /// Queues a message. Returns false if the link is closed or its queue is full, which means that
    /// the peer has stopped reading.
    pub fn send(&self, message: &Message) -> bool {
        match encode(message) {
            Ok(frame) => self.send_frame(frame),
            Err(error) => {
                tracing::error!(%error, "failed to encode a message");
                false
            }
        }
    }

    /// Queues an encoded message, whose bytes may be shared with other links. Returns false as
    /// [`LinkSender::send`] does.
    pub fn send_frame(&self, frame: Bytes) -> bool {
        let load = &self.load;
        let bytes = load.bytes.get() + frame.len();
        let has_room = load.bytes.get() <= MAX_QUEUED_BYTES && !load.has_overflowed.get();
        let is_queued = has_room && self.frames.try_send(frame).is_ok();
        match is_queued {
            true => load.bytes.set(bytes),
            false => load.has_overflowed.set(true),
        }
        is_queued
    }

    /// Number of bytes of long messages that the receiving side of the link has read so far, those of a message
    /// that is still arriving included.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }

    /// Whether the connection has ended and queued messages will not be sent any more.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// The receiving side of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    connection: OwnedReadHalf,
    received: Rc<Cell<u64>>,
}

impl LinkReceiver {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// The connection ended, nothing arrived within [`LINK_TIMEOUT`], or a frame can't be decoded.
    pub async fn receive(&mut self) -> Result<Message, LinkError> {
        let begun = timeout(LINK_TIMEOUT, self.read_begin()).await;
        let (mut frame, mut filled) = begun.map_err(|_| LinkError::Unresponsive)??;
        while filled < frame.len() {
            // A long frame may take longer than the time-out as long as it arrives.
            let reading = timeout(LINK_TIMEOUT, self.connection.read(&mut frame[filled..])).await;
            let bytes = reading.map_err(|_| LinkError::Unresponsive)?;
            match bytes.map_err(LinkError::Disconnected)? {
                0 => return Err(LinkError::Disconnected(io::ErrorKind::UnexpectedEof.into())),
                bytes => {
                    filled += bytes;
                    self.received.set(self.received.get() + bytes as u64);
                }
            }
        }
        decode(frame).map_err(LinkError::Decode)
    }

    /// Reads the length of a frame, and all of a short one. Returns the frame and how much of it was read.
    async fn read_begin(&mut self) -> Result<(Vec<u8>, usize), LinkError> {
        let bytes = self.connection.read_u32_le().await.map_err(LinkError::Disconnected)?;
        if bytes > MAX_FRAME_BYTES {
            return Err(LinkError::FrameTooLong { bytes });
        }
        let mut frame = vec![0; bytes as usize];
        if frame.len() > MAX_BATCH_BYTES {
            return Ok((frame, 0));
        }
        let read = self.connection.read_exact(&mut frame).await;
        Ok((frame, read.map_err(LinkError::Disconnected)?))
    }
}

/// Opens a link and sends this process's [`Message::Hello`].
///
/// # Errors
///
/// The connection could not be opened within [`CONNECT_TIMEOUT`].
pub async fn open(
    address: SocketAddr,
    info: InstanceInfo,
) -> Result<(LinkSender, LinkReceiver), LinkError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(LinkError::Connect { address, source: Some(source) }),
        Err(_) => return Err(LinkError::Connect { address, source: None }),
    };
    let (sender, receiver) = split(stream);
    sender.send(&Message::Hello(info));
    Ok((sender, receiver))
}

/// Accepts a link that another process opened, and returns who opened it.
///
/// # Errors
///
/// The first message is not [`Message::Hello`], or does not arrive within [`LINK_TIMEOUT`].
pub async fn accept(
    stream: TcpStream,
) -> Result<(InstanceInfo, LinkSender, LinkReceiver), LinkError> {
    let (sender, mut receiver) = split(stream);
    match receiver.receive().await? {
        Message::Hello(info) => Ok((info, sender, receiver)),
        _ => Err(LinkError::NoIntroduction),
    }
}

fn split(stream: TcpStream) -> (LinkSender, LinkReceiver) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to disable Nagle's algorithm");
    }
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(QUEUE_MESSAGES);
    let load = Rc::new(QueueLoad::default());
    let writing = write_frames(write, queue, load.clone());
    // The receiving half reports an error of the connection.
    task::spawn_local(async move { drop(writing.await) });
    let received = Rc::new(Cell::new(0));
    let receiver = LinkReceiver { connection: read, received: received.clone() };
    (LinkSender { frames, load, received }, receiver)
}

/// Writes frames until the queue is closed, a message did not fit, or the connection ends. Short
/// frames that are queued go out together.
async fn write_frames(
    mut connection: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
    load: Rc<QueueLoad>,
) -> io::Result<()> {
    let (mut frames, mut batch) = (Vec::new(), Vec::new());
    while queue.recv_many(&mut frames, MAX_BATCH_FRAMES).await > 0 {
        for frame in frames.drain(..) {
            if load.has_overflowed.get() {
                return Ok(());
            }
            if batch.len() + frame.len() > MAX_BATCH_BYTES {
                load.write(&mut connection, &batch).await?;
                batch.clear();
            }
            match frame.len() > MAX_BATCH_BYTES {
                true => load.write(&mut connection, &frame).await?,
                false => batch.extend_from_slice(&frame),
            }
        }
        load.write(&mut connection, &batch).await?;
        batch.clear();
    }
    Ok(())
}

/// Decodes the message in a frame. In a frame of an earlier build, fields that were added at the end of the
/// message are missing; the appended zeros stand for empty lists and options, the number 0 and the
/// first variant of an enumeration. What follows the message is ignored.
///
/// # Errors
///
/// The frame holds no message.
///
/// ```
/// use medlarlug_gateway::link::{Message, Update, decode, encode};
///
/// let message = Message::Update(Update::default());
/// let mut content = encode(&message)?.to_vec().split_off(4);
/// let with_regions = [&content[..], &[1, 1, 5], b"kochi"].concat();
/// assert_eq!(decode(with_regions)?, message);
/// assert_eq!(content.pop(), Some(0));
/// assert_eq!(decode(content)?, message);
/// # Ok::<(), postcard::Error>(())
/// ```
pub fn decode(mut content: Vec<u8>) -> Result<Message, postcard::Error> {
    content.extend([0; MISSING_FIELDS]);
    postcard::from_bytes(&content)
}

/// Encodes a message as a frame, with its length before it.
///
/// # Errors
///
/// The message can't be represented.
pub fn encode(message: &Message) -> Result<Bytes, postcard::Error> {
    let encoded = postcard::to_extend(message, vec![0; 4])?;
    let length = u32::try_from(encoded.len() - 4).unwrap_or(u32::MAX);
    let mut frame = encoded;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    Ok(frame.into())
}
