//! The links that other processes opened to a keeper, and the news that each still lacks.
//!
//! What changes is told to everybody at once. That nothing has changed, renewals of upstreams and
//! signs of life of instances, would be most of the news, and grow with upstreams times instances. An
//! entry instance gets it from the few keepers that it has chosen, and of upstreams only who is late; a
//! keeper gets it from whoever has heard it first.

use std::{cell::OnceCell, time::Duration};

use medlarlug_core::{
    gateway::{
        cold::Suspicions,
        contacts::{Contacts, Part, RegionWait},
        upstreams::{Known, Pulse, Renewal, Upstreams},
    },
    ids::InstanceId,
    suspects::FactLog,
    time::Time,
};

use crate::link::{LinkSender, Message, PublicationHead, Update};

/// Time between two tellings of the signs of life of all instances on one link.
const PULSE_INTERVAL: Duration = Duration::from_millis(800);

/// Late upstreams up to which a pulse goes out in each round of news: behind a cut, all are late.
const MAX_LATE_EVERY_ROUND: usize = 60;

/// One link that another process opened.
#[derive(Debug)]
struct Subscriber {
    id: InstanceId,
    part: Part,
    /// Differs for each link, also of one process.
    link: u64,
    sender: LinkSender,
    /// Whether renewals, signs of life and waits are wanted.
    is_primary: bool,
    /// Last changes that were sent.
    sent: SentState,
    /// Number of the last news that was sent.
    number: u64,
    /// Number of the last news that was taken in.
    acknowledged: u64,
}

/// Up to where a link has been told.
#[derive(Debug, Default)]
struct SentState {
    upstreams: u64,
    renewals: u64,
    contacts: u64,
    head: Option<PublicationHead>,
    /// When the signs of life of all instances were last sent.
    pulses_sent: Option<Time>,
    waits: Vec<RegionWait>,
    facts: u64,
}

/// What a keeper knows and tells.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeeperState<'a> {
    pub(crate) upstreams: &'a Upstreams,
    pub(crate) contacts: &'a Contacts,
    pub(crate) head: &'a PublicationHead,
    pub(crate) suspicions: &'a Suspicions,
    pub(crate) facts: &'a FactLog,
}

/// What is the same for all links that are told it in one round.
struct UpdateRound<'a> {
    now: Time,
    state: KeeperState<'a>,
    pulse: OnceCell<Pulse>,
    pulses: OnceCell<Vec<(InstanceId, u32)>>,
    waits: OnceCell<Vec<RegionWait>>,
}

impl<'a> UpdateRound<'a> {
    fn new(now: Time, state: KeeperState<'a>) -> UpdateRound<'a> {
        let (pulse, pulses, waits) = (OnceCell::new(), OnceCell::new(), OnceCell::new());
        UpdateRound { now, state, pulse, pulses, waits }
    }

    fn pulse(&self) -> &Pulse {
        self.pulse.get_or_init(|| self.state.upstreams.pulse(self.now))
    }

    fn pulses(&self) -> &Vec<(InstanceId, u32)> {
        self.pulses.get_or_init(|| {
            let live = self.state.contacts.live(self.now);
            live.map(|it| (it.card.id.clone(), millis(self.now - it.heard))).collect()
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
    pub(crate) fn add(&mut self, id: InstanceId, part: Part, sender: LinkSender) -> u64 {
        self.last += 1;
        let link = self.last;
        let sent = SentState::default();
        // Keepers always want renewals.
        let is_primary = part == Part::Keeper;
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

    /// Removes a link.
    pub(crate) fn remove(&mut self, link: u64) {
        self.links.retain(|it| it.link != link);
    }

    /// The peer has taken in the news up to `number`.
    pub(crate) fn acknowledged(&mut self, link: u64, number: u64) {
        if let Ok(at) = self.position(link) {
            let it = &mut self.links[at];
            it.acknowledged = it.acknowledged.max(number);
        }
    }

    /// The peer wants renewals, or no longer does.
    pub(crate) fn set_primary(&mut self, link: u64, is_primary: bool) {
        if let Ok(at) = self.position(link) {
            let it = &mut self.links[at];
            it.is_primary = is_primary || it.part == Part::Keeper;
        }
    }

    /// Sends a message to a process over its newest link.
    pub(crate) fn send(&self, id: &InstanceId, message: &Message) -> bool {
        let link = self.links.iter().rfind(|it| it.id == *id);
        link.is_some_and(|it| it.sender.send(message))
    }

    /// Sends to each link what it lacks.
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

    /// The news that entry instances have been sent and not taken in yet: pairs of link and number.
    pub(crate) fn unacknowledged_by_entries(&self) -> Vec<(u64, u64)> {
        let is_waiting = |it: &&Subscriber| it.part == Part::Entry && it.acknowledged < it.number;
        self.links.iter().filter(is_waiting).map(|it| (it.link, it.number)).collect()
    }

    /// Whether none of `waited` is missing any more; links that ended don't count.
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
        let KeeperState { upstreams, contacts, head, suspicions, facts } = round.state;
        let mut update = Update::default();
        let is_keeper = self.part == Part::Keeper;
        // Another keeper hears the rest from whoever has heard it first.
        let is_forwarded = |known: &&Known| !is_keeper || known.is_local;
        if upstreams.change() > self.sent.upstreams {
            let changed = upstreams.since(self.sent.upstreams).filter(is_forwarded);
            let told = changed.map(|it| (it.upstream.clone(), millis(now - it.heard)));
            update.upstreams = told.collect();
            self.sent.upstreams = upstreams.change();
        }
        if contacts.change() > self.sent.contacts {
            let changed = contacts.since(self.sent.contacts);
            let told = changed.map(|it| (it.card.clone(), it.status.ready, millis(now - it.heard)));
            update.contacts = told.collect();
            self.sent.contacts = contacts.change();
        }
        if self.sent.head.as_ref() != Some(head) {
            update.head = Some(head.clone());
            let restored = suspicions.all_restored().iter();
            update.restored = restored.map(|it| (it.0.clone(), millis(now - it.1))).collect();
            self.sent.head = Some(head.clone());
        }
        if is_keeper {
            let renewed = upstreams.renewed_since(self.sent.renewals).filter(is_forwarded);
            update.renewals = renewed.map(|known| renewal(now, known)).collect();
            self.sent.renewals = upstreams.renewal();
        } else if self.is_primary {
            let is_due = self.sent.pulses_sent.is_none_or(|sent| now - sent >= PULSE_INTERVAL);
            if is_due || round.pulse().late.len() <= MAX_LATE_EVERY_ROUND {
                update.pulse = Some(round.pulse().clone());
            }
            if is_due {
                self.sent.pulses_sent = Some(now);
                update.pulses.clone_from(round.pulses());
            }
        }
        if self.is_primary && !is_keeper && *round.waits() != self.sent.waits {
            update.waits.clone_from(round.waits());
            self.sent.waits.clone_from(round.waits());
        }
        // One keeper has heard them from another, and entry instances from any: two sources are
        // enough for what is new. Whoever has just connected knows nothing, and is told with the table's
        // version, before it has the table.
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

fn renewal(now: Time, known: &Known) -> Renewal {
    Renewal {
        id: known.upstream.id.clone(),
        birth: known.upstream.birth,
        sequence: known.upstream.sequence,
        age_ms: millis(now - known.heard),
    }
}

/// An age in milliseconds, as it is sent.
fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
