//! State machine of the configuration group: used numbers, retries, validation, moves of homes, and a
//! comparison with a naive model.

use assert_matches::assert_matches;
use medlarlug_core::{
    configuration_group::{Command, ConfigurationGroup, Refusal, Reply},
    fingerprint::Fingerprint,
    follower::{Effect, Event, Follower, Storage, Timing, Update, UpdateRequest},
    home::FoundingToken,
    ids::{OperatorId, RegionId, ReleaseNumber, Revision},
    release::{
        Item, ItemKey, NoteError, RawNote, ReleaseNote,
        item::{Model, Residency},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::{id, note, region, team};

fn model(name: &str, residency: Residency) -> Item {
    let versions = vec![id("v1")];
    Item::Model(Model { id: id(name), versions, adapters: Vec::new(), residency })
}

fn apply(group: &mut ConfigurationGroup, raw: RawNote) -> Reply {
    group.apply(Command::Apply(ReleaseNote::try_from(raw).unwrap()))
}

fn group_with(items: Vec<Item>) -> ConfigurationGroup {
    let mut group = ConfigurationGroup::default();
    assert_matches!(apply(&mut group, note(0, items)), Reply::Accepted(_));
    group
}

fn changing(base: u64, items: Vec<Item>) -> RawNote {
    RawNote { added: Vec::new(), changed: items, ..note(base, Vec::new()) }
}

fn withdrawing(base: u64, keys: Vec<ItemKey>) -> RawNote {
    RawNote { withdrawn: keys, ..note(base, Vec::new()) }
}

#[test]
fn retried_note_gets_its_first_reply_after_later_notes() {
    let mut group = ConfigurationGroup::default();
    let first = apply(&mut group, note(0, vec![region("riga", &["riga-a"])]));
    for base in 1..100 {
        apply(&mut group, note(base, vec![model(&format!("m{base}"), Residency::Home)]));
    }

    let again = apply(&mut group, note(0, vec![region("riga", &["riga-a"])]));

    assert_eq!(again, first);
    assert_eq!(group.configuration().revision, Revision(100));
}

#[test]
fn other_note_under_a_used_number_names_the_winner() {
    let mut group = group_with(vec![region("riga", &["riga-a"])]);
    let loser = RawNote { operator: id("berta"), ..note(0, vec![region("riga", &["riga-a"])]) };

    let reply = apply(&mut group, loser);

    let (anna, berta): (OperatorId, OperatorId) = (id("anna"), id("berta"));
    assert_matches!(reply, Reply::Refused(Refusal::Conflict { winner, operator }) => {
        assert_eq!((winner.operator, operator), (anna, berta));
        assert_eq!(winner.revision, Revision(1));
    });
}

#[test]
fn note_that_breaks_a_reference_is_refused_as_a_whole() {
    let mut group = group_with(vec![region("riga", &["riga-a"])]);
    let before = group.clone();
    let regions = Residency::Regions(vec![id("kurzeme")]);
    let mut keys = team("anna", "riga");
    keys.keys = (0..3u8).map(|it| Fingerprint::of(&[it])).collect();
    let (mut one, mut other) = (team("one", "riga"), team("other", "riga"));
    one.keys.push(Fingerprint(1));
    other.keys.push(Fingerprint(1));

    let dangling_home = apply(&mut group, note(1, vec![Item::Team(team("anna", "kurzeme"))]));
    let dangling_rule = apply(&mut group, note(1, vec![model("scribe", regions)]));
    let shared_zone = apply(&mut group, note(1, vec![region("kurzeme", &["riga-a"])]));
    let many_keys = apply(&mut group, note(1, vec![Item::Team(keys)]));
    let shared_key = apply(&mut group, note(1, vec![Item::Team(one), Item::Team(other)]));

    assert_matches!(dangling_home, Reply::Refused(Refusal::Note(NoteError::Dangling { .. })));
    assert_matches!(dangling_rule, Reply::Refused(Refusal::Note(NoteError::Dangling { .. })));
    assert_matches!(shared_zone, Reply::Refused(Refusal::Note(NoteError::SharedZone { .. })));
    assert_matches!(many_keys, Reply::Refused(Refusal::Note(NoteError::TooManyKeys { .. })));
    assert_matches!(shared_key, Reply::Refused(Refusal::Note(NoteError::SharedKey { .. })));
    assert_eq!(group, before);
}

#[test]
fn withdrawn_model_drains_until_the_group_removes_it() {
    let mut group = group_with(vec![region("riga", &["riga-a"]), model("scribe", Residency::Home)]);
    let (key, riga): (ItemKey, RegionId) = (ItemKey::Model(id("scribe")), id("riga"));
    let caller = team("anna", "riga");
    apply(&mut group, withdrawing(1, vec![key.clone()]));
    assert!(!group.configuration().is_permitted(&caller, &key, &riga));
    assert!(group.configuration().may_continue(&caller, &key, &riga));

    let early = Command::RemoveDrained { revision: Revision(1), items: vec![key.clone()] };
    let early = group.apply(early);
    let late = Command::RemoveDrained { revision: Revision(2), items: vec![key.clone()] };
    let late = group.apply(late);
    let prepared = apply(&mut group, note(2, vec![region("kurzeme", &["kurzeme-a"])]));

    assert_eq!(early, Reply::NotRemoved(Revision(2)));
    assert_eq!(late, Reply::Removed(Revision(3)));
    assert!(!group.configuration().may_continue(&caller, &key, &riga));
    assert_matches!(prepared, Reply::Accepted(it) => assert_eq!(it.revision, Revision(4)));
}

#[test]
fn home_moves_again_only_after_it_is_adopted() {
    let regions = vec![region("riga", &["riga-a"]), region("kurzeme", &["kurzeme-a"])];
    let mut group = group_with(regions);
    apply(&mut group, note(1, vec![Item::Team(team("anna", "riga"))]));
    apply(&mut group, changing(2, vec![Item::Team(team("anna", "kurzeme"))]));
    let back = changing(3, vec![Item::Team(team("anna", "riga"))]);
    let without_riga = withdrawing(3, vec![ItemKey::Region(id("riga"))]);

    let early = apply(&mut group, back.clone());
    let withdrawal = apply(&mut group, without_riga);
    group.apply(Command::HomeAdopted { team: id("anna"), epoch: Revision(3) });
    let late = apply(&mut group, back);

    assert_matches!(early, Reply::Refused(Refusal::Moving { .. }));
    assert_matches!(withdrawal, Reply::Refused(Refusal::Moving { .. }));
    assert_matches!(late, Reply::Accepted(_));
    let home = group.configuration().home_of(&id("anna")).unwrap();
    assert_eq!((home.epoch, home.from.clone()), (Revision(4), Some(id("kurzeme"))));
}

#[test]
fn founding_is_first_once_and_idempotent() {
    let mut group = group_with(vec![region("riga", &["riga-a"])]);
    let found = |token| Command::FoundHome { region: id("riga"), token: FoundingToken(token) };

    let first = group.apply(found(7));
    let again = group.apply(found(7));
    let second = group.apply(found(8));

    assert_eq!(first, Reply::Founded { revision: Revision(2), first: true });
    assert_eq!(again, first);
    assert_eq!(second, Reply::Founded { revision: Revision(3), first: false });
}

#[test]
fn rebuilt_group_continues_above_every_revision_that_it_may_have_lost() {
    let mut survivor = group_with(vec![region("riga", &["riga-a"])]);
    let mut lost = survivor.clone();
    apply(&mut lost, note(1, vec![region("kurzeme", &["liepaja-a"])]));
    let ask = UpdateRequest { token: 1, revision: lost.configuration().revision, full: false };

    let reply = survivor.apply(Command::Rebuilt);
    let update = survivor.update_for(&ask);

    assert_matches!(reply, Reply::Rebuilt(revision) if revision > ask.revision);
    assert_eq!(update, Some(Update::Full(survivor.configuration().clone())));
}

/// Naive model: a list of the accepted notes, from which the configuration is computed each time.
#[derive(Debug, Default)]
struct NaiveModel {
    accepted: Vec<(RawNote, Revision)>,
    revision: u64,
}

impl NaiveModel {
    fn items(&self) -> Vec<Item> {
        let mut items: Vec<Item> = Vec::new();
        for (note, _) in &self.accepted {
            for item in note.added.iter().chain(&note.changed) {
                items.retain(|it| it.key() != item.key());
                items.push(item.clone());
            }
            items.retain(|it| !note.withdrawn.contains(&it.key()));
        }
        items.sort_by_key(Item::key);
        items
    }

    /// Revision of the note, or `None` if it is refused.
    fn accept(&mut self, note: &RawNote) -> Option<Revision> {
        if let Some((held, revision)) = self.accepted.iter().find(|it| it.0.number == note.number) {
            return (held == note).then_some(*revision);
        }
        let last = self.accepted.last().map_or(0, |it| it.1.0);
        let items = self.items();
        let exists = |key: &ItemKey| items.iter().any(|it| it.key() == *key);
        let fits = (last..=self.revision).contains(&note.base.0)
            && note.added.iter().all(|it| !exists(&it.key()))
            && note.changed.iter().all(|it| exists(&it.key()))
            && note.withdrawn.iter().all(exists);
        let revision = Revision(self.revision + 1);
        self.accepted.push((note.clone(), revision));
        if !fits || !self.is_consistent() {
            self.accepted.pop();
            return None;
        }
        self.revision += 1;
        Some(revision)
    }

    fn is_consistent(&self) -> bool {
        let items = self.items();
        let exists =
            |region: &RegionId| items.iter().any(|it| it.key() == ItemKey::Region(region.clone()));
        items.iter().all(|it| match it {
            Item::Team(team) => exists(&team.home),
            Item::Model(Model { residency: Residency::Regions(list), .. }) => {
                list.iter().all(exists)
            }
            _ => true,
        })
    }
}

fn random_item(rng: &mut ChaCha8Rng) -> Item {
    let regions = ["riga", "kurzeme"];
    let name = regions[rng.random_range(0..2)];
    match rng.random_range(0..3) {
        0 => region(name, &[format!("{name}-{}", rng.random_range(0..3)).as_str()]),
        1 => Item::Team(team(["anna", "loft"][rng.random_range(0..2)], name)),
        _ => model("scribe", Residency::Regions(vec![id(name)])),
    }
}

fn random_note(rng: &mut ChaCha8Rng, revision: u64) -> RawNote {
    let base = revision.saturating_sub(rng.random_range(0..3) / 2);
    let mut raw = note(base, Vec::new());
    raw.number = ReleaseNumber(rng.random_range(0..revision + 4));
    raw.operator = id(["anna", "berta"][rng.random_range(0..2)]);
    for _ in 0..rng.random_range(1..4) {
        let item = random_item(rng);
        match rng.random_range(0..3) {
            0 => raw.added.push(item),
            1 => raw.changed.push(item),
            _ => raw.withdrawn.push(item.key()),
        }
    }
    raw
}

#[test]
fn group_matches_the_naive_model_and_its_changes_reproduce_it() {
    let mut accepted = 0;
    for seed in 0..1_500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut group, mut naive) = (ConfigurationGroup::default(), NaiveModel::default());
        let mut sent: Vec<RawNote> = Vec::new();
        let mut past = vec![group.configuration().clone()];
        for _ in 0..60 {
            let resend = (!sent.is_empty() && rng.random_range(0..5) == 0)
                .then(|| sent[rng.random_range(0..sent.len())].clone());
            let raw = resend.unwrap_or_else(|| random_note(&mut rng, naive.revision));
            let Ok(note) = ReleaseNote::try_from(raw.clone()) else {
                continue;
            };
            // The naive model has no moves, so they are completed immediately.
            let moving = group.moves().first().cloned();
            if let Some(it) = moving {
                group.apply(Command::HomeAdopted { team: it.team, epoch: it.epoch });
            }
            let drained: Vec<ItemKey> =
                group.configuration().draining().iter().map(Item::key).collect();
            if !drained.is_empty() && rng.random_range(0..2) == 0 {
                let revision = group.configuration().revision;
                group.apply(Command::RemoveDrained { revision, items: drained });
                past.push(group.configuration().clone());
                naive.revision += 1;
            }
            sent.push(raw.clone());

            let reply = group.apply(Command::Apply(note));

            let expected = naive.accept(&raw);
            let revision = match reply {
                Reply::Accepted(accepted) => Some(accepted.revision),
                _ => None,
            };
            assert_eq!(revision, expected, "seed {seed}: {raw:?}");
            assert_eq!(group.configuration().items(), naive.items(), "seed {seed}");
            if group.configuration().revision > past.last().unwrap().revision {
                past.push(group.configuration().clone());
            }
            accepted += usize::from(revision.is_some());
        }
        for old in past {
            let ask = UpdateRequest { token: 1, revision: old.revision, full: false };
            let mut follower = Follower::new(Timing::default(), Storage::Disk(Some(old)), 0);
            if let Some(update) = group.update_for(&ask) {
                assert_matches!(update, Update::Changes { .. });
                let event = Event::Pushed(update);
                let mut out = Vec::new();
                follower.handle(Default::default(), event, &mut out);
                let Some(Effect::Save(save)) = out.pop() else { panic!("nothing to save") };
                follower.handle(Default::default(), Event::Saved(save), &mut Vec::new());
            }
            assert_eq!(follower.configuration(), Some(group.configuration()), "seed {seed}");
        }
        let restored = ConfigurationGroup::decode_snapshot(&group.encode_snapshot()).unwrap();
        assert_eq!(restored, group, "seed {seed}");
    }
    assert!(accepted > 5_000, "only {accepted} notes were accepted");
}
