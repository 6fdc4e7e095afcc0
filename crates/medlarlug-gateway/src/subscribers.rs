//! The links that other processes opened to a keeper, and which changes each has been sent.
//!
//! Changes are sent to all links at once. Renewals of upstreams and signs of life of instances
//! would be most of the traffic, and grow with upstreams times instances. They go to an entry
//! instance only from the few keepers that it has chosen as primary, and for upstreams as a
//! heartbeat that lists only the late ones; another keeper receives a renewal from the keeper that
//! the upstream renewed itself at.

use std::{cell::OnceCell, time::Duration};

use bytes::Bytes;
use medlarlug_core::{
    gateway::{
        cold::ColdDetector,
        contacts::{Contacts, InstanceKind, RegionWait},
        upstreams::{Heartbeat, KnownUpstream, Renewal, Upstreams},
    },
    ids::InstanceId,
    suspects::FactLog,
    time::Time,
};

use crate::link::{LinkSender, Message, PublicationHead, Update};

/// Time between two transmissions of the signs of life of all instances on one link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Up to this number of late upstreams, a heartbeat is sent in every round of updates. Behind a
/// network partition all upstreams are late, and the heartbeat goes out once per
/// [`HEARTBEAT_INTERVAL`] only.
const MAX_LATE_EVERY_ROUND: usize = 60;

/// Time after the first update on a link in which heartbeats name the age of each upstream: one
/// interval of their announcements, and the time until keepers have forwarded one.
const EXACT_HEARTBEAT_TIME: Duration = Duration::from_secs(2);

/// A link that another process opened.
#[derive(Debug)]
struct Subscriber {
    id: InstanceId,
    part: InstanceKind,
    /// Number of the link, unique in this process; one peer may have several links.
    link: u64,
    sender: LinkSender,
    /// Whether the peer wants renewals, heartbeats and waiting times.
    is_primary: bool,
    /// What has been sent so far.
    sent: SentState,
    /// Sequence number of the last update that was sent.
    number: u64,
    /// Sequence number of the last update that the peer acknowledged.
    acknowledged: u64,
}

/// How far the changes of each kind have been sent on a link.
#[derive(Debug, Default)]
struct SentState {
    upstreams: u64,
    renewals: u64,
    contacts: u64,
    head: Option<PublicationHead>,
    /// When the first update was sent.
    began: Option<Time>,
    /// When the signs of life of all instances were last sent.
    heartbeats_sent: Option<Time>,
    waits: Vec<RegionWait>,
    facts: u64,
}

/// The state of a keeper that updates are made from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeeperState<'a> {
    pub(crate) upstreams: &'a Upstreams,
    pub(crate) contacts: &'a Contacts,
    pub(crate) head: &'a PublicationHead,
    pub(crate) cold_detector: &'a ColdDetector,
    pub(crate) facts: &'a FactLog,
}

/// Parts of an update that are computed once per round and shared by all links.
struct UpdateRound<'a> {
    now: Time,
    state: KeeperState<'a>,
    heartbeat: OnceCell<Heartbeat>,
    exact_heartbeat: OnceCell<Heartbeat>,
    instance_heartbeats: OnceCell<Vec<(InstanceId, u32)>>,
    waits: OnceCell<Vec<RegionWait>>,
}

impl<'a> UpdateRound<'a> {
    fn new(now: Time, state: KeeperState<'a>) -> UpdateRound<'a> {
        let (heartbeat, instance_heartbeats) = (OnceCell::new(), OnceCell::new());
        let (exact_heartbeat, waits) = (OnceCell::new(), OnceCell::new());
        UpdateRound { now, state, heartbeat, exact_heartbeat, instance_heartbeats, waits }
    }

    fn heartbeat(&self) -> &Heartbeat {
        self.heartbeat.get_or_init(|| self.state.upstreams.heartbeat(self.now))
    }

    fn exact_heartbeat(&self) -> &Heartbeat {
        self.exact_heartbeat.get_or_init(|| self.state.upstreams.exact_heartbeat(self.now))
    }

    fn instance_heartbeats(&self) -> &Vec<(InstanceId, u32)> {
        self.instance_heartbeats.get_or_init(|| {
            let live = self.state.contacts.live(self.now);
            live.map(|it| (it.info.id.clone(), millis(self.now - it.last_seen))).collect()
        })
    }

    fn waits(&self) -> &Vec<RegionWait> {
        self.waits.get_or_init(|| self.state.contacts.waits(self.now))
    }
}

/// All links that other processes opened, sorted by number.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    links: Vec<Subscriber>,
    last: u64,
}

impl Subscribers {
    /// Adds a link and returns its number.
    pub(crate) fn add(&mut self, id: InstanceId, part: InstanceKind, sender: LinkSender) -> u64 {
        self.last += 1;
        let link = self.last;
        let sent = SentState::default();
        // Keepers always want renewals.
        let is_primary = part == InstanceKind::Keeper;
        self.links.push(Subscriber {
            id,
            part,
            link,
            sender,
            is_primary,
            sent,
            number: 0,
            acknowledged: 0,
        });
        link
    }

    pub(crate) fn remove(&mut self, link: u64) {
        self.links.retain(|it| it.link != link);
    }

    /// The peer acknowledged the updates up to `number`.
    pub(crate) fn acknowledged(&mut self, link: u64, number: u64) {
        if let Ok(at) = self.position(link) {
            let it = &mut self.links[at];
            it.acknowledged = it.acknowledged.max(number);
        }
    }

    /// Sets whether the peer wants renewals. Keepers always do.
    pub(crate) fn set_primary(&mut self, link: u64, is_primary: bool) {
        if let Ok(at) = self.position(link) {
            let it = &mut self.links[at];
            it.is_primary = is_primary || it.part == InstanceKind::Keeper;
        }
    }

    /// Sends a message to a process over its newest link. Returns false if there is none.
    pub(crate) fn send(&self, id: &InstanceId, message: &Message) -> bool {
        let link = self.links.iter().rfind(|it| it.id == *id);
        link.is_some_and(|it| it.sender.send(message))
    }

    /// Sends a message over a link. Returns false if the link has ended.
    pub(crate) fn send_over(&self, link: u64, message: &Message) -> bool {
        self.position(link).is_ok_and(|at| self.links[at].sender.send(message))
    }

    /// Sends an encoded message over a link, if it has not ended.
    pub(crate) fn send_frame(&self, link: u64, frame: Bytes) {
        if let Ok(at) = self.position(link) {
            self.links[at].sender.send_frame(frame);
        }
    }

    /// Sends each link the changes that it has not been sent yet.
    pub(crate) fn push(&mut self, now: Time, state: KeeperState) {
        let round = UpdateRound::new(now, state);
        for link in &mut self.links {
            if let Some(update) = link.next_update(&round) {
                link.sender.send(&Message::Update(update));
            }
        }
    }

    fn position(&self, link: u64) -> Result<usize, usize> {
        self.links.binary_search_by_key(&link, |it| it.link)
    }

    /// The updates that entry instances have been sent but have not acknowledged, as pairs of link
    /// and sequence number.
    pub(crate) fn unacknowledged_by_entries(&self) -> Vec<(u64, u64)> {
        let is_waiting =
            |it: &&Subscriber| it.part == InstanceKind::Entry && it.acknowledged < it.number;
        self.links.iter().filter(is_waiting).map(|it| (it.link, it.number)).collect()
    }

    /// Whether all of `waited` have been acknowledged; closed links count as acknowledged.
    pub(crate) fn all_acknowledged(&self, waited: &[(u64, u64)]) -> bool {
        let is_acknowledged = |(link, number): &(u64, u64)| {
            self.position(*link).map_or(true, |at| self.links[at].acknowledged >= *number)
        };
        waited.iter().all(is_acknowledged)
    }
}

impl Subscriber {
    fn next_update(&mut self, round: &UpdateRound) -> Option<Update> {
        let now = round.now;
        let KeeperState { upstreams, contacts, head, cold_detector, facts, .. } = round.state;
        let mut update = Update::default();
        let is_keeper = self.part == InstanceKind::Keeper;
        // Other keepers receive the remaining upstreams from the keeper that those announced
        // themselves to.
        let is_forwarded = |known: &&KnownUpstream| !is_keeper || known.is_local;
        if upstreams.last_change() > self.sent.upstreams {
            for it in upstreams.changed_since(self.sent.upstreams).filter(is_forwarded) {
                update.push_upstream(it.upstream.clone(), millis(now - it.announced_at));
            }
            self.sent.upstreams = upstreams.last_change();
        }
        if contacts.last_change() > self.sent.contacts {
            let changed = contacts.changed_since(self.sent.contacts);
            let with_ages =
                changed.map(|it| (it.info.clone(), it.status.ready, millis(now - it.last_seen)));
            update.contacts = with_ages.collect();
            self.sent.contacts = contacts.last_change();
        }
        if self.sent.head.as_ref() != Some(head) {
            update.head = Some(head.clone());
            let restored = cold_detector.restored_zones().iter();
            update.restored = restored.map(|it| (it.0.clone(), millis(now - it.1))).collect();
            self.sent.head = Some(head.clone());
        }
        if is_keeper {
            let renewed = upstreams.renewed_since(self.sent.renewals).filter(is_forwarded);
            update.renewals = renewed.map(|known| renewal(now, known)).collect();
            self.sent.renewals = upstreams.last_renewal();
        } else if self.is_primary {
            let is_due =
                self.sent.heartbeats_sent.is_none_or(|sent| now - sent >= HEARTBEAT_INTERVAL);
            let began = *self.sent.began.get_or_insert(now);
            if now - began <= EXACT_HEARTBEAT_TIME {
                update.heartbeat = Some(round.exact_heartbeat().clone());
            } else if is_due || round.heartbeat().late.len() <= MAX_LATE_EVERY_ROUND {
                update.heartbeat = Some(round.heartbeat().clone());
            }
            if is_due {
                self.sent.heartbeats_sent = Some(now);
                update.instance_heartbeats.clone_from(round.instance_heartbeats());
            }
        }
        if self.is_primary && !is_keeper && *round.waits() != self.sent.waits {
            update.waits.clone_from(round.waits());
            self.sent.waits.clone_from(round.waits());
        }
        // Keepers forward facts to each other, so for new facts the two primary keepers of an entry
        // instance suffice. A process that has just connected knows none of them, and gets all
        // together with the version of the table, before it can fetch the table and serve calls.
        let is_first = self.number == 0;
        if (self.is_primary || is_first) && facts.end() > self.sent.facts {
            update.facts = facts.since(now, self.sent.facts);
            self.sent.facts = facts.end();
        }
        if update == Update::default() {
            return None;
        }
        self.number += 1;
        update.number = self.number;
        Some(update)
    }
}

fn renewal(now: Time, known: &KnownUpstream) -> Renewal {
    Renewal {
        id: known.upstream.id.clone(),
        birth: known.upstream.birth,
        sequence: known.upstream.sequence,
        age_ms: millis(now - known.announced_at),
    }
}

/// Converts an age to milliseconds for the wire.
fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
