//! Bookings of a home group, compared with a naive model that scans a list.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{
        Action, Begin, BeginReply, Body, BookingKey, BookingState, Command, HomeGroup, Owner,
        RecordedAnswer, Reply, state::KEY_RETENTION,
    },
    ids::{Incarnation, InstanceId, RequestId, Revision, TeamId},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

/// Booking of the naive model.
#[derive(Debug, Clone)]
struct NaiveBooking {
    team: TeamId,
    key: BookingKey,
    content: Fingerprint,
    request: RequestId,
    state: BookingState,
    ended: Option<Duration>,
}

/// Model of a group that holds all teams: a list of bookings that is scanned from end to end.
#[derive(Debug, Default)]
struct NaiveModel {
    clock: Duration,
    rows: Vec<NaiveBooking>,
    teams: Vec<TeamId>,
    started: Vec<(InstanceId, Incarnation)>,
}

impl NaiveModel {
    fn apply(&mut self, command: Command) -> Reply {
        self.clock += command.elapsed;
        let clock = self.clock;
        self.rows.retain(|it| it.ended.is_none_or(|ended| ended + KEY_RETENTION > clock));
        match command.action {
            Action::Begin(begin) => Reply::Begin(self.begin(begin)),
            Action::InstanceStarted { instance, incarnation } => {
                self.start(&instance, incarnation);
                Reply::Ok
            }
            Action::InstanceDead { instance, incarnation } => {
                self.mark_unknown_where(|owner| {
                    owner.instance == instance && owner.incarnation == incarnation
                });
                Reply::Ok
            }
            Action::Finish { team, key, request, answer } => {
                self.end(&team, &key, &request, BookingState::Done(answer), "ou")
            }
            Action::ResolveOutcome { team, key, request, answer } => {
                self.end(&team, &key, &request, BookingState::Done(answer), "u")
            }
            Action::Abandon { team, key, request } => {
                self.end(&team, &key, &request, BookingState::Abandoned, "ou")
            }
            Action::MarkUnknown { team, key, request } => {
                self.end(&team, &key, &request, BookingState::Unknown, "o")
            }
            _ => Reply::Ok,
        }
    }

    fn row(&mut self, team: &TeamId, key: &BookingKey) -> Option<&mut NaiveBooking> {
        self.rows.iter_mut().find(|it| it.team == *team && it.key == *key)
    }

    fn begin(&mut self, begin: Begin) -> BeginReply {
        let Owner { instance, incarnation } = begin.owner.clone();
        let newest = self.started.iter().filter(|it| it.0 == instance).map(|it| it.1).max();
        if let Some(newest) = newest.filter(|it| *it > incarnation) {
            return BeginReply::StaleOwner(newest);
        }
        self.start(&instance, incarnation);
        self.teams.push(begin.team.clone());
        let open = NaiveBooking {
            team: begin.team.clone(),
            key: begin.key.clone(),
            content: begin.content,
            request: begin.request.clone(),
            state: BookingState::Open(begin.owner),
            ended: None,
        };
        let Some(row) = self.row(&begin.team, &begin.key) else {
            self.rows.push(open);
            return BeginReply::Started;
        };
        let is_same = row.request == begin.request;
        if row.state == BookingState::Abandoned && !is_same {
            *row = open;
            return BeginReply::Started;
        }
        if row.content != begin.content {
            return BeginReply::KeyReused(row.request.clone());
        }
        match row.state.clone() {
            BookingState::Open(_) if is_same => BeginReply::Started,
            BookingState::Open(_) => BeginReply::InProgress(row.request.clone()),
            BookingState::Abandoned => BeginReply::Abandoned,
            BookingState::Unknown => BeginReply::Unknown(Some(row.request.clone())),
            BookingState::Done(answer) => BeginReply::Done { request: row.request.clone(), answer },
        }
    }

    fn start(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let newest = self.started.iter().filter(|it| it.0 == *instance).map(|it| it.1).max();
        if newest.is_some_and(|it| it >= incarnation) {
            return;
        }
        self.started.push((instance.clone(), incarnation));
        self.mark_unknown_where(|owner| {
            owner.instance == *instance && owner.incarnation < incarnation
        });
    }

    fn mark_unknown_where(&mut self, is_dead: impl Fn(&Owner) -> bool) {
        for row in &mut self.rows {
            if matches!(&row.state, BookingState::Open(owner) if is_dead(owner)) {
                row.state = BookingState::Unknown;
                row.ended = Some(self.clock);
            }
        }
    }

    /// Ends a booking that is in one of the states in `from`: `o` for open, `u` for unknown.
    fn end(
        &mut self,
        team: &TeamId,
        key: &BookingKey,
        request: &RequestId,
        state: BookingState,
        from: &str,
    ) -> Reply {
        let clock = self.clock;
        if !self.teams.contains(team) {
            return Reply::NotAdopted;
        }
        let Some(row) = self.row(team, key).filter(|it| it.request == *request) else {
            return Reply::NoSuchBooking;
        };
        let may_end = match &row.state {
            BookingState::Open(_) => from.contains('o'),
            BookingState::Unknown => from.contains('u'),
            BookingState::Abandoned | BookingState::Done(_) => false,
        };
        if may_end {
            row.state = state;
            row.ended = Some(clock);
            return Reply::Ok;
        }
        let is_repeated = std::mem::discriminant(&row.state) == std::mem::discriminant(&state);
        let is_late_unknown =
            state == BookingState::Unknown && matches!(row.state, BookingState::Done(_));
        if is_repeated || is_late_unknown { Reply::Ok } else { Reply::NoSuchBooking }
    }
}

fn random_command(rng: &mut ChaCha8Rng) -> Command {
    let instance: InstanceId = id(["entry-1", "entry-2"][rng.random_range(0..2)]);
    let incarnation = Incarnation(rng.random_range(1..4));
    let team: TeamId = id(["anna", "loft"][rng.random_range(0..2)]);
    let key: BookingKey = format!("k{}", rng.random_range(0..4)).parse().unwrap();
    let sequence = rng.random_range(0..4u64);
    let request: RequestId = id(&format!("riga.{instance}.{incarnation}.{sequence}"));
    let body = Body::of(&[rng.random_range(0..3u8)]);
    let answer = RecordedAnswer { status: 200, content_type: "text/plain".into(), body };
    let action = match rng.random_range(0..20) {
        0 => Action::InstanceStarted { instance, incarnation },
        1 => Action::InstanceDead { instance, incarnation },
        2..6 => Action::Finish { team, key, request, answer },
        6..8 => Action::Abandon { team, key, request },
        8..10 => Action::MarkUnknown { team, key, request },
        10 => Action::ResolveOutcome { team, key, request, answer },
        11 => Action::Tick,
        _ => Action::Begin(Begin {
            team,
            key,
            content: Fingerprint(u128::from(rng.random_range(0..8u8) == 0)),
            request,
            owner: Owner { instance, incarnation },
            revision: Revision(1),
            epoch: Revision(1),
            moved: false,
            queryable_service: None,
        }),
    };
    let elapsed = match rng.random_range(0..30) {
        0 => Duration::from_secs(rng.random_range(0..30 * 60 * 60)),
        _ => Duration::from_millis(rng.random_range(0..5)),
    };
    Command { elapsed, action }
}

#[test]
fn replies_equal_those_of_a_list_scan() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut group = HomeGroup::default();
        let found = Action::Found { revision: Revision(1), first: true };
        group.apply(Command { elapsed: Duration::ZERO, action: found });
        let mut naive = NaiveModel::default();
        for step in 0..200 {
            let command = random_command(&mut rng);

            let reply = group.apply(command.clone());

            let expected = naive.apply(command.clone());
            assert_eq!(reply, expected, "seed {seed}, step {step}: {command:?}");
            assert_eq!(group.key_count(), naive.rows.len(), "seed {seed}, step {step}");
            if step == 100 {
                group = HomeGroup::decode_snapshot(&group.encode_snapshot()).unwrap();
            }
        }
    }
}
