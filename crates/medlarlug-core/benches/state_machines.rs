//! Encoded sizes and speed of the replicated state machines with 2,700 teams.
//!
//! Run with `cargo bench -p medlarlug-core --bench state_machines`.

use std::time::{Duration, Instant};

use medlarlug_core::{
    configuration_group::{Command as ConfigurationCommand, ConfigurationGroup},
    fingerprint::Fingerprint,
    follower::UpdateRequest,
    home::{Action, Begin, Body, Command, HomeGroup, Owner, RecordedAnswer},
    ids::{Incarnation, Revision, TeamId},
    release::{Item, RawNote, ReleaseNote, item::Team},
};
use test_support::{id, note, region, team};

const TEAMS: usize = 2_700;
const CHANGES: u64 = 340;
const KEYS: usize = 100_000;

fn main() {
    configuration();
    bookings();
}

fn team_with_keys(number: usize, revision: u64) -> Team {
    let mut team = team(&format!("team-{number}"), "region-0");
    let key = |it: u64| Fingerprint::of(format!("{number}-{it}").as_bytes());
    team.keys = vec![key(revision), key(revision + 1)];
    team
}

fn configuration() {
    let mut items: Vec<Item> = (0..8).map(|it| region(&format!("region-{it}"), &[])).collect();
    items.extend((0..TEAMS).map(|it| Item::Team(team_with_keys(it, 0))));
    let mut group = ConfigurationGroup::default();
    group.apply(ConfigurationCommand::Apply(ReleaseNote::try_from(note(0, items)).unwrap()));
    let start = Instant::now();
    for base in 1..=CHANGES {
        let changed = vec![Item::Team(team_with_keys(base as usize, base))];
        let raw = RawNote { added: Vec::new(), changed, ..note(base, Vec::new()) };
        group.apply(ConfigurationCommand::Apply(ReleaseNote::try_from(raw).unwrap()));
    }
    let each = start.elapsed() / CHANGES as u32;
    let request = |revision, full| UpdateRequest { token: 1, revision: Revision(revision), full };
    let size =
        |req: UpdateRequest| postcard::to_allocvec(&group.update_for(&req).unwrap()).unwrap().len();
    println!("configuration of {TEAMS} teams: {} B", size(request(0, true)));
    println!("update with one change: {} B", size(request(CHANGES, false)));
    println!("update with {CHANGES} changes: {} B", size(request(1, false)));
    println!("snapshot of the configuration group: {} B", group.encode_snapshot().len());
    println!("time to accept a note: {each:?}");
}

fn begin(number: usize) -> Begin {
    let team: TeamId = id(&format!("team-{}", number % TEAMS));
    Begin {
        team,
        key: format!("booking-{number}").parse().unwrap(),
        content: Fingerprint::of(b"content"),
        request: id(&format!("riga.entry-1.1.{number}")),
        owner: Owner { instance: id("entry-1"), incarnation: Incarnation(1) },
        revision: Revision(1),
        epoch: Revision(1),
        moved: false,
        queryable_service: None,
    }
}

fn bookings() {
    let mut group = HomeGroup::default();
    let mut apply = |action| group.apply(Command { elapsed: Duration::from_millis(1), action });
    apply(Action::Found { revision: Revision(1), first: true });
    let begins: Vec<Begin> = (0..KEYS).map(begin).collect();
    let answer = RecordedAnswer {
        status: 201,
        content_type: "application/json".into(),
        body: Body::of(&[0; 200]),
    };
    let start = Instant::now();
    for it in begins {
        let (team, key, request) = (it.team.clone(), it.key.clone(), it.request.clone());
        apply(Action::Begin(it));
        apply(Action::Finish { team, key, request, answer: answer.clone() });
    }
    let each = start.elapsed() / KEYS as u32;
    println!("time to begin and finish a booking, {KEYS} keys: {each:?}");
    let start = Instant::now();
    let incarnation = Incarnation(2);
    apply(Action::InstanceStarted { instance: id("entry-1"), incarnation });
    println!("time to apply the restart of an instance, {KEYS} keys: {:?}", start.elapsed());
    let start = Instant::now();
    let snapshot = group.encode_snapshot();
    println!("snapshot with {KEYS} keys: {} B, encoded in {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    HomeGroup::decode_snapshot(&snapshot).unwrap();
    println!("snapshot decoded in {:?}", start.elapsed());
}
