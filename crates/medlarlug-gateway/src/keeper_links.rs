//! Keeps a link open to every keeper that is known, and hands what comes over it to its owner.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::gateway::contacts::{Card, Status};
use tokio::{task, time::MissedTickBehavior};

use crate::link::{self, LinkError, LinkSender, Message, PING_INTERVAL};

/// Pause before a link that ended is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// What a process does with its links to keepers.
pub(crate) trait Owner: 'static {
    /// How the process introduces itself.
    fn card(&self) -> Card;
    /// What it tells of its state in pings.
    fn status(&self) -> Status;
    /// Whether it wants renewals from the keeper at `address`, not only changes.
    fn is_primary(&self, address: SocketAddr) -> bool;
    /// The keepers that it wants links to.
    fn keepers(&self) -> Vec<SocketAddr>;
    /// A new link to the keeper at `address` is open.
    fn opened(&self, address: SocketAddr);
    /// Takes a message in that came from the keeper at `from`.
    fn receive(&self, from: SocketAddr, message: Message);
}

/// The keepers that a task keeps a link to, sorted, and the link while it is open.
type Followed = Vec<(SocketAddr, Option<LinkSender>)>;

/// The open links, by the address of the keeper.
#[derive(Debug, Clone, Default)]
pub(crate) struct Links(Rc<RefCell<Followed>>);

impl Links {
    /// Sends a message to the keeper at `to`, if a link to it is open.
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

    /// The keepers with an open link.
    pub(crate) fn open_to(&self) -> Vec<SocketAddr> {
        let links = self.0.borrow();
        links.iter().filter(|it| it.1.is_some()).map(|it| it.0).collect()
    }

    /// Number of open links.
    pub(crate) fn open(&self) -> usize {
        self.0.borrow().iter().filter(|it| it.1.is_some()).count()
    }

    /// Starts a task for each keeper of `owner` that has none.
    pub(crate) fn follow<O: Owner>(&self, owner: &Rc<O>) {
        let own = owner.card().internal;
        for address in owner.keepers() {
            if address == own || !self.add(address) {
                continue;
            }
            task::spawn_local(keep(self.clone(), owner.clone(), address));
        }
    }

    /// Adds a keeper; returns whether it is new.
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

/// Keeps a link open as long as the keeper is wanted.
async fn keep<O: Owner>(links: Links, owner: Rc<O>, address: SocketAddr) {
    let mut was_open = true;
    while owner.keepers().contains(&address) {
        let error = match link::open(address, owner.card()).await {
            Ok((sender, receiver)) => {
                tracing::info!(keeper = %address, "link opened");
                links.set(address, Some(sender.clone()));
                owner.opened(address);
                was_open = true;
                let error = run(&owner, address, sender, receiver).await;
                links.set(address, None);
                error
            }
            Err(error) => error,
        };
        if was_open {
            tracing::warn!(keeper = %address, error = %chain(&error), "link lost");
        }
        was_open = false;
        tokio::time::sleep(REOPEN_PAUSE).await;
    }
    links.remove(address);
}

async fn run<O: Owner>(
    owner: &Rc<O>,
    address: SocketAddr,
    sender: LinkSender,
    mut receiver: link::LinkReceiver,
) -> LinkError {
    let pings = async {
        let mut ticks = tokio::time::interval(PING_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let (status, is_primary) = (owner.status(), owner.is_primary(address));
            if !sender.send(&Message::Ping { status, is_primary }) {
                return LinkError::Closed;
            }
        }
    };
    let messages = async {
        loop {
            match receiver.receive().await {
                Ok(message) => owner.receive(address, message),
                Err(error) => return error,
            }
        }
    };
    tokio::select! {
        error = pings => error,
        error = messages => error,
    }
}

/// An error with its causes on one line.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
