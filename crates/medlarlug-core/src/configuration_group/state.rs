//! The state machine of the configuration group.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    configuration_group::command::{Accepted, Change, Command, Refusal, Reply},
    fingerprint::Fingerprint,
    follower::{Update, UpdateRequest},
    home::FoundingToken,
    ids::{RegionId, ReleaseNumber, Revision, TeamId},
    release::{Configuration, ItemKey, ReleaseNote},
};

/// Number of accepted notes that the group remembers by their number.
///
/// A retry of an older note is refused as [`Stale`](crate::release::NoteError::Stale), so a note is never
/// accepted twice.
pub const MAX_ACCEPTED_NOTES: usize = 16_384;

/// Number of recent changes that the group keeps. A follower that lacks more of them is sent the whole
/// configuration.
pub const MAX_RETAINED_CHANGES: usize = 1_024;

/// Number of revisions that a rebuilt group skips: more than the survivor can have missed.
pub const REBUILD_REVISION_GAP: u64 = 1 << 20;

/// Accepted note by which a number is used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UsedNumber {
    accepted: Accepted,
    content: Fingerprint,
}

/// Move of a team to a new home region that is in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeMove {
    /// Team that is being moved.
    pub team: TeamId,
    /// Former home region.
    pub from: RegionId,
    /// New home region.
    pub to: RegionId,
    /// Revision that changed the home.
    pub epoch: Revision,
}

/// The last founding of a region's home group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Founding {
    region: RegionId,
    token: FoundingToken,
    revision: Revision,
    first: bool,
}

/// The state machine of the configuration group.
///
/// ```
/// use medlarlug_core::configuration_group::ConfigurationGroup;
///
/// let group = ConfigurationGroup::default();
/// let snapshot = group.encode_snapshot();
/// assert_eq!(ConfigurationGroup::decode_snapshot(&snapshot).unwrap(), group);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationGroup {
    current: Configuration,
    numbers: Vec<UsedNumber>,
    changes: VecDeque<Change>,
    moves: Vec<HomeMove>,
    foundings: Vec<Founding>,
}

impl ConfigurationGroup {
    /// The configuration at the newest revision.
    pub fn configuration(&self) -> &Configuration {
        &self.current
    }

    /// Moves of teams to a new home region that are in progress, sorted by team.
    pub fn moves(&self) -> &[HomeMove] {
        &self.moves
    }

    /// Last `count` accepted notes at most, newest first.
    pub fn history(&self, count: usize) -> Vec<Accepted> {
        let mut notes: Vec<Accepted> = self.numbers.iter().map(|it| it.accepted.clone()).collect();
        notes.sort_by_key(|it| std::cmp::Reverse(it.revision));
        notes.truncate(count);
        notes
    }

    /// Applies one command of the replicated log and returns the reply to its sender.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Apply(note) => match self.accept(note) {
                Ok(accepted) => Reply::Accepted(accepted),
                Err(refusal) => Reply::Refused(refusal),
            },
            Command::RemoveDrained { revision, items } => self.remove_drained(revision, items),
            Command::HomeAdopted { team, epoch } => self.finish_move(&team, epoch),
            Command::FoundHome { region, token } => self.found_home(region, token),
            Command::Rebuilt => self.skip_lost_revisions(),
        }
    }

    /// Changes that a follower lacks, or the whole configuration if some of them are no longer kept.
    /// Returns `None` if the follower is up to date or ahead.
    pub fn update_for(&self, ask: &UpdateRequest) -> Option<Update> {
        let missing = self.current.revision.0.checked_sub(ask.revision.0)?;
        if missing == 0 {
            return None;
        }
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        if ask.full || missing > self.changes.len() {
            return Some(Update::Full(self.current.clone()));
        }
        let skipped = self.changes.len() - missing;
        let changes = self.changes.iter().skip(skipped).cloned().collect();
        Some(Update::Changes { base: ask.revision, changes })
    }

    /// Encodes the state for a snapshot of the log.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("state encodes to memory")
    }

    /// Decodes a state that [`encode_snapshot`](Self::encode_snapshot) encoded.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded state.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<ConfigurationGroup, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn accept(&mut self, note: ReleaseNote) -> Result<Accepted, Refusal> {
        let content = fingerprint(&note);
        let place = match self.find_number(note.number()) {
            Ok(found) => return self.reply_to_used_number(found, &note, content),
            Err(place) => place,
        };
        let next = note.apply(&self.current)?;
        self.check_moves(&note, &next)?;
        let accepted = Accepted {
            number: note.number(),
            operator: note.operator().clone(),
            revision: next.revision,
        };
        self.numbers.insert(place, UsedNumber { accepted: accepted.clone(), content });
        self.evict_oldest_number();
        self.start_moves(&next);
        self.advance(next, Change::Note(note));
        Ok(accepted)
    }

    fn find_number(&self, number: ReleaseNumber) -> Result<usize, usize> {
        self.numbers.binary_search_by_key(&number, |it| it.accepted.number)
    }

    /// Returns the first reply if the note is the one that used the number, and a conflict otherwise.
    fn reply_to_used_number(
        &self,
        found: usize,
        note: &ReleaseNote,
        content: Fingerprint,
    ) -> Result<Accepted, Refusal> {
        let used = &self.numbers[found];
        let winner = used.accepted.clone();
        if used.content == content {
            return Ok(winner);
        }
        Err(Refusal::Conflict { winner, operator: note.operator().clone() })
    }

    /// Refuses to move a team again, or to withdraw a region of its move, while its move is in progress.
    fn check_moves(&self, note: &ReleaseNote, next: &Configuration) -> Result<(), Refusal> {
        for it in &self.moves {
            let is_moved_again = next.home_of(&it.team).is_some_and(|home| home.epoch != it.epoch);
            let is_withdrawn =
                |region: &RegionId| note.withdrawn().contains(&ItemKey::Region(region.clone()));
            if is_moved_again || is_withdrawn(&it.from) || is_withdrawn(&it.to) {
                let (team, from, to) = (it.team.clone(), it.from.clone(), it.to.clone());
                return Err(Refusal::Moving { team, from, to });
            }
        }
        Ok(())
    }

    fn start_moves(&mut self, next: &Configuration) {
        for home in next.homes().iter().filter(|it| it.epoch == next.revision) {
            let Some(from) = home.from.clone() else {
                continue;
            };
            let (team, to, epoch) = (home.team.clone(), home.region.clone(), home.epoch);
            self.moves.push(HomeMove { team, from, to, epoch });
        }
        self.moves.sort_by(|a, b| a.team.cmp(&b.team));
    }

    fn evict_oldest_number(&mut self) {
        if self.numbers.len() <= MAX_ACCEPTED_NOTES {
            return;
        }
        let oldest = self.numbers.iter().enumerate().min_by_key(|(_, it)| it.accepted.revision);
        if let Some((place, _)) = oldest {
            self.numbers.remove(place);
        }
    }

    fn advance(&mut self, next: Configuration, change: Change) {
        self.current = next;
        self.changes.push_back(change);
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Skips the revisions that may be in effect at instances and are missing in the rebuilt state.
    fn skip_lost_revisions(&mut self) -> Reply {
        self.current.revision = Revision(self.current.revision.0 + REBUILD_REVISION_GAP);
        self.changes.clear();
        Reply::Rebuilt(self.current.revision)
    }

    fn remove_drained(&mut self, revision: Revision, items: Vec<ItemKey>) -> Reply {
        if revision != self.current.revision || items.is_empty() {
            return Reply::NotRemoved(self.current.revision);
        }
        match self.current.without_drained(&items) {
            Ok(next) => {
                self.advance(next, Change::Removed(items));
                Reply::Removed(self.current.revision)
            }
            Err(_) => Reply::NotRemoved(self.current.revision),
        }
    }

    fn finish_move(&mut self, team: &TeamId, epoch: Revision) -> Reply {
        self.moves.retain(|it| it.team != *team || it.epoch != epoch);
        Reply::HomeAdopted
    }

    fn found_home(&mut self, region: RegionId, token: FoundingToken) -> Reply {
        if self.current.region(&region).is_none() {
            return Reply::UnknownRegion(region);
        }
        let found = self.foundings.binary_search_by(|it| it.region.cmp(&region));
        if let Ok(found) = found
            && self.foundings[found].token == token
        {
            let Founding { revision, first, .. } = self.foundings[found];
            return Reply::Founded { revision, first };
        }
        let next = self.current.with_next_revision();
        let (revision, first) = (next.revision, found.is_err());
        let founding = Founding { region: region.clone(), token, revision, first };
        match found {
            Ok(found) => self.foundings[found] = founding,
            Err(place) => self.foundings.insert(place, founding),
        }
        self.advance(next, Change::Founded(region));
        Reply::Founded { revision, first }
    }
}

fn fingerprint(note: &ReleaseNote) -> Fingerprint {
    let bytes = postcard::to_allocvec(note).expect("a note encodes to memory");
    Fingerprint::of(&bytes)
}
