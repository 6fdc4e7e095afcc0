//! The links that other processes opened to a keeper, and the news that each still lacks.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        contacts::{Contacts, Part},
        upstreams::Upstreams,
    },
    ids::InstanceId,
    time::Time,
};

use crate::link::{Head, LinkSender, Message, News};

/// Time between two tellings of the system's instances on one link.
const CONTACTS_INTERVAL: Duration = Duration::from_secs(1);

/// One link that another process opened.
#[derive(Debug)]
struct Subscriber {
    id: InstanceId,
    part: Part,
    /// Differs for each link, also of one process.
    link: u64,
    sender: LinkSender,
    /// Last change of the upstreams that was sent.
    change: u64,
    head: Option<Head>,
    contacts: Option<Time>,
    /// Number of the last news sent.
    sent: u64,
    /// Number of the last news that was taken in.
    seen: u64,
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
        let subscriber = Subscriber {
            id,
            part,
            link,
            sender,
            change: 0,
            head: None,
            contacts: None,
            sent: 0,
            seen: 0,
        };
        self.links.push(subscriber);
        link
    }

    /// Removes a link. Returns whether its process has no other one.
    pub(crate) fn remove(&mut self, link: u64) -> bool {
        let Some(at) = self.links.iter().position(|it| it.link == link) else { return false };
        let id = self.links.remove(at).id;
        !self.links.iter().any(|it| it.id == id)
    }

    /// The peer has taken in the news up to `number`.
    pub(crate) fn seen(&mut self, link: u64, number: u64) {
        if let Some(it) = self.links.iter_mut().find(|it| it.link == link) {
            it.seen = it.seen.max(number);
        }
    }

    /// Sends a message to a process over its newest link.
    pub(crate) fn send(&self, id: &InstanceId, message: &Message) -> bool {
        let link = self.links.iter().rfind(|it| it.id == *id);
        link.is_some_and(|it| it.sender.send(message))
    }

    /// Sends to each link what it lacks.
    pub(crate) fn push(
        &mut self,
        now: Time,
        upstreams: &Upstreams,
        contacts: &Contacts,
        head: &Head,
    ) {
        for link in &mut self.links {
            let news = link.news(now, upstreams, contacts, head);
            if let Some(news) = news {
                link.sender.send(&Message::News(news));
            }
        }
    }

    /// The news that entry instances have been sent and not taken in yet: pairs of link and number.
    pub(crate) fn unseen_by_entries(&self) -> Vec<(u64, u64)> {
        let is_waiting = |it: &&Subscriber| it.part == Part::Entry && it.seen < it.sent;
        self.links.iter().filter(is_waiting).map(|it| (it.link, it.sent)).collect()
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
    fn news(
        &mut self,
        now: Time,
        upstreams: &Upstreams,
        contacts: &Contacts,
        head: &Head,
    ) -> Option<News> {
        let mut news = News::default();
        if upstreams.change() > self.change {
            let changed = upstreams.since(self.change);
            let told = changed.map(|it| (it.upstream.clone(), millis(now - it.heard)));
            news.upstreams = told.collect();
            self.change = upstreams.change();
        }
        if self.head.as_ref() != Some(head) {
            news.head = Some(head.clone());
            self.head = Some(head.clone());
        }
        if self.contacts.is_none_or(|sent| now - sent >= CONTACTS_INTERVAL) {
            let told = contacts.all().iter();
            let told = told.map(|it| (it.card.clone(), it.status.clone(), millis(now - it.heard)));
            news.contacts = told.collect();
            self.contacts = Some(now);
        }
        if news == News::default() {
            return None;
        }
        self.sent += 1;
        news.number = self.sent;
        Some(news)
    }
}

/// An age in milliseconds, as it is sent.
pub(crate) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
