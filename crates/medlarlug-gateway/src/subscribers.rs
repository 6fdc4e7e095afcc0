//! The links that other processes opened to a keeper, and the news that each still lacks.
//!
//! What changes is told to everybody at once. That nothing has changed, renewals of upstreams and
//! signs of life of instances, is most of the news; an entry instance gets it from the few keepers
//! that it has chosen, and a keeper only from whoever has heard it first.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::Suspicions,
        contacts::{Contacts, Part, RegionWait},
        upstreams::{Known, Renewal, Upstreams},
    },
    ids::InstanceId,
    time::Time,
};

use crate::link::{Head, LinkSender, Message, News};

/// Time between two tellings of renewals and signs of life on one link.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

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
    sent: Sent,
    /// Number of the last news that was sent.
    number: u64,
    /// Number of the last news that was taken in.
    seen: u64,
}

/// Up to where a link has been told.
#[derive(Debug, Default)]
struct Sent {
    upstreams: u64,
    renewals: u64,
    contacts: u64,
    head: Option<Head>,
    /// When renewals were last sent.
    renewed: Option<Time>,
    waits: Vec<RegionWait>,
}

/// What a keeper knows and tells.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Knowledge<'a> {
    pub(crate) upstreams: &'a Upstreams,
    pub(crate) contacts: &'a Contacts,
    pub(crate) head: &'a Head,
    pub(crate) suspicions: &'a Suspicions,
}

/// All links that other processes opened.
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
        let sent = Sent::default();
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
            seen: 0,
        });
        link
    }

    /// Removes a link.
    pub(crate) fn remove(&mut self, link: u64) {
        self.links.retain(|it| it.link != link);
    }

    /// The peer has taken in the news up to `number`.
    pub(crate) fn seen(&mut self, link: u64, number: u64) {
        if let Some(it) = self.links.iter_mut().find(|it| it.link == link) {
            it.seen = it.seen.max(number);
        }
    }

    /// The peer wants renewals, or no longer does.
    pub(crate) fn set_primary(&mut self, link: u64, is_primary: bool) {
        if let Some(it) = self.links.iter_mut().find(|it| it.link == link) {
            it.is_primary = is_primary || it.part == Part::Keeper;
        }
    }

    /// Sends a message to a process over its newest link.
    pub(crate) fn send(&self, id: &InstanceId, message: &Message) -> bool {
        let link = self.links.iter().rfind(|it| it.id == *id);
        link.is_some_and(|it| it.sender.send(message))
    }

    /// Sends to each link what it lacks.
    pub(crate) fn push(&mut self, now: Time, knowledge: Knowledge) {
        for link in &mut self.links {
            if let Some(news) = link.news(now, knowledge) {
                link.sender.send(&Message::News(news));
            }
        }
    }

    /// The news that entry instances have been sent and not taken in yet: pairs of link and number.
    pub(crate) fn unseen_by_entries(&self) -> Vec<(u64, u64)> {
        let is_waiting = |it: &&Subscriber| it.part == Part::Entry && it.seen < it.number;
        self.links.iter().filter(is_waiting).map(|it| (it.link, it.number)).collect()
    }

    /// Whether none of `waited` is missing any more; links that ended don't count.
    pub(crate) fn have_seen(&self, waited: &[(u64, u64)]) -> bool {
        let has_seen = |(link, number): &(u64, u64)| {
            self.links.iter().find(|it| it.link == *link).is_none_or(|it| it.seen >= *number)
        };
        waited.iter().all(has_seen)
    }
}

impl Subscriber {
    fn news(&mut self, now: Time, knowledge: Knowledge) -> Option<News> {
        let Knowledge { upstreams, contacts, head, suspicions } = knowledge;
        let mut news = News::default();
        let is_keeper = self.part == Part::Keeper;
        // Another keeper hears the rest from whoever has heard it first.
        let is_told = |known: &&Known| !is_keeper || known.is_local;
        if upstreams.change() > self.sent.upstreams {
            let changed = upstreams.since(self.sent.upstreams).filter(is_told);
            let told = changed.map(|it| (it.upstream.clone(), millis(now - it.heard)));
            news.upstreams = told.collect();
            self.sent.upstreams = upstreams.change();
        }
        if contacts.change() > self.sent.contacts {
            let changed = contacts.since(self.sent.contacts);
            let told = changed.map(|it| (it.card.clone(), it.status.ready, millis(now - it.heard)));
            news.contacts = told.collect();
            self.sent.contacts = contacts.change();
        }
        if self.sent.head.as_ref() != Some(head) {
            news.head = Some(head.clone());
            let restored = suspicions.all_restored().iter();
            news.restored = restored.map(|it| (it.0.clone(), millis(now - it.1))).collect();
            self.sent.head = Some(head.clone());
        }
        let is_due = self.sent.renewed.is_none_or(|sent| now - sent >= RENEWAL_INTERVAL);
        if self.is_primary && is_due {
            let renewed = upstreams.renewed_since(self.sent.renewals).filter(is_told);
            news.renewals = renewed.map(|known| renewal(now, known)).collect();
            self.sent.renewals = upstreams.renewal();
            self.sent.renewed = Some(now);
            if !is_keeper {
                let live = contacts.live(now);
                news.pulses = live.map(|it| (it.card.id.clone(), millis(now - it.heard))).collect();
            }
        }
        if self.is_primary && !is_keeper {
            let waits = contacts.waits(now);
            if waits != self.sent.waits {
                news.waits.clone_from(&waits);
                self.sent.waits = waits;
            }
        }
        if news == News::default() {
            return None;
        }
        self.number += 1;
        news.number = self.number;
        Some(news)
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
