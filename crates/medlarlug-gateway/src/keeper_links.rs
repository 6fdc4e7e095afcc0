//! Keeps a link open to every known keeper, and passes received messages to the owner of the links.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        contacts::{InstanceInfo, Status},
        table_lease::TableReport,
    },
    time::Time,
};
use tokio::{task, time::MissedTickBehavior};

use crate::link::{self, LinkError, LinkSender, Message, PING_INTERVAL};

/// Delay before a closed link is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// The process that owns links to keepers: supplies what is sent over them and handles messages.
pub(crate) trait LinkOwner: 'static {
    /// The time by the clock of this process.
    fn now(&self) -> Time;
    /// The introduction of this process, sent when a link is opened.
    fn info(&self) -> InstanceInfo;
    /// The state that pings report.
    fn status(&self) -> Status;
    /// Whether this process wants renewals from the keeper at `address`, in addition to changes.
    fn is_primary(&self, address: SocketAddr) -> bool;
    /// The keepers to keep a link to. A link to any other keeper is not reopened.
    fn keepers(&self) -> Vec<SocketAddr>;
    /// Called when a new link to the keeper at `address` has been opened.
    fn link_opened(&self, address: SocketAddr);
    /// Handles what the keeper at `from` reports about the newest table, in answer to a ping that was
    /// sent at `sent`.
    fn table_reported(&self, from: SocketAddr, sent: Time, report: TableReport);
    /// Handles a message from the keeper at `from`.
    fn receive(&self, from: SocketAddr, message: Message);
}

/// The keepers that a task maintains a link to, sorted by address, with the link while it is open.
type LinkTable = Vec<(SocketAddr, Option<LinkSender>)>;

/// The links of a process to keepers. Clones share the same links.
#[derive(Debug, Clone, Default)]
pub(crate) struct Links(Rc<RefCell<LinkTable>>);

impl Links {
    /// Sends a message to the keeper at `to`. Returns false if no link to it is open.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) -> bool {
        let links = self.0.borrow();
        let at = links.binary_search_by(|it| it.0.cmp(&to));
        let link = at.ok().and_then(|at| links[at].1.as_ref());
        link.is_some_and(|link| link.send(message))
    }

    /// Sends a message over every open link.
    pub(crate) fn send_all(&self, message: &Message) {
        for link in self.0.borrow().iter().filter_map(|it| it.1.as_ref()) {
            link.send(message);
        }
    }

    /// Number of bytes of long messages received over the open link to a keeper so far; `None` without one.
    pub(crate) fn received_bytes(&self, from: SocketAddr) -> Option<u64> {
        let links = self.0.borrow();
        let at = links.binary_search_by(|it| it.0.cmp(&from)).ok()?;
        links[at].1.as_ref().map(LinkSender::received_bytes)
    }

    /// The addresses of the keepers to which a link is open.
    pub(crate) fn connected(&self) -> Vec<SocketAddr> {
        let links = self.0.borrow();
        links.iter().filter(|it| it.1.is_some()).map(|it| it.0).collect()
    }

    /// Number of open links.
    pub(crate) fn open_count(&self) -> usize {
        self.0.borrow().iter().filter(|it| it.1.is_some()).count()
    }

    /// Starts a task for each keeper of `owner` to which no task maintains a link yet.
    pub(crate) fn connect_new<O: LinkOwner>(&self, owner: &Rc<O>) {
        let own = owner.info().internal;
        for address in owner.keepers() {
            if address == own || !self.add(address) {
                continue;
            }
            task::spawn_local(maintain(self.clone(), owner.clone(), address));
        }
    }

    /// Adds a keeper; returns false if it is present already.
    fn add(&self, address: SocketAddr) -> bool {
        let mut links = self.0.borrow_mut();
        let Err(at) = links.binary_search_by(|it| it.0.cmp(&address)) else { return false };
        links.insert(at, (address, None));
        true
    }

    fn set(&self, address: SocketAddr, sender: Option<LinkSender>) {
        let mut links = self.0.borrow_mut();
        if let Ok(at) = links.binary_search_by(|it| it.0.cmp(&address)) {
            links[at].1 = sender;
        }
    }

    fn remove(&self, address: SocketAddr) {
        self.0.borrow_mut().retain(|it| it.0 != address);
    }
}

/// Keeps a link open until the owner no longer lists the keeper.
async fn maintain<O: LinkOwner>(links: Links, owner: Rc<O>, address: SocketAddr) {
    let mut was_open = true;
    while owner.keepers().contains(&address) {
        let error = match link::open(address, owner.info()).await {
            Ok((sender, receiver)) => {
                tracing::info!(keeper = %address, "link opened");
                links.set(address, Some(sender.clone()));
                owner.link_opened(address);
                was_open = true;
                let error = serve_link(&owner, address, sender, receiver).await;
                links.set(address, None);
                error
            }
            Err(error) => error,
        };
        if was_open {
            tracing::warn!(keeper = %address, error = %error_chain(&error), "link lost");
        }
        was_open = false;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
    links.remove(address);
}

/// The pings on a link that were not answered yet, in the order in which they were sent.
#[derive(Debug, Default)]
struct Pings {
    last: u64,
    sent: VecDeque<(u64, Time)>,
}

impl Pings {
    /// Adds a ping that is sent now; returns its number.
    fn add(&mut self, now: Time) -> u64 {
        self.last += 1;
        self.sent.push_back((self.last, now));
        self.last
    }

    /// Returns when the ping with this number was sent, and forgets it and those before it. The answer
    /// of an earlier build has the number 0, and counts as one to the oldest ping.
    fn answered(&mut self, number: u64) -> Option<Time> {
        if number == 0 {
            return self.sent.pop_front().map(|it| it.1);
        }
        let answered = self.sent.partition_point(|it| it.0 <= number);
        let last = self.sent.drain(..answered).next_back();
        last.filter(|it| it.0 == number).map(|it| it.1)
    }
}

async fn serve_link<O: LinkOwner>(
    owner: &Rc<O>,
    address: SocketAddr,
    sender: LinkSender,
    mut receiver: link::LinkReceiver,
) -> LinkError {
    let unanswered = RefCell::new(Pings::default());
    let pings = async {
        let mut ticks = tokio::time::interval(PING_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let (status, is_primary) = (owner.status(), owner.is_primary(address));
            let number = unanswered.borrow_mut().add(owner.now());
            if !sender.send(&Message::Ping { status, is_primary, number }) {
                return LinkError::Closed;
            }
        }
    };
    let messages = async {
        loop {
            match receiver.receive().await {
                Ok(message) => {
                    if let Message::Pong { number, table } = message
                        && let Some(sent) = unanswered.borrow_mut().answered(number)
                        && (number > 0 || table == TableReport::Unsupported)
                    {
                        owner.table_reported(address, sent, table);
                    }
                    owner.receive(address, message);
                }
                Err(error) => return error,
            }
        }
    };
    tokio::select! {
        error = pings => error,
        error = messages => error,
    }
}

/// Formats an error and its causes on one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
