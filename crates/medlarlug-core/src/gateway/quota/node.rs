//! The quotas at one entry instance: its waiting calls, and the pools that it keeps for its region.

use super::{
    Allocator, AskedCall, Budget, ClaimId, Claims, Decision, QuotaMessage, allocator::FREEZE_TIME,
};
use crate::{
    gateway::{cold, teams::TeamName},
    ids::InstanceId,
    time::Time,
};

/// Maximum number of calls or answers in a message, so that it fits into a datagram.
const MAX_MESSAGE_CALLS: usize = 40;

/// Waiting calls of a team.
type TeamCalls = (TeamName, Vec<AskedCall>);

/// The live entry instances as this instance sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuotaView {
    /// Those of the own region, this one included, sorted.
    pub own_region: Vec<InstanceId>,
    /// Those of each other region, sorted.
    pub other_regions: Vec<Vec<InstanceId>>,
    /// Largest number of entry instances of all regions that were known at once; `None` if this
    /// instance has not heard enough keepers since its start to know. It keeps no pools then.
    pub peak_entries: Option<usize>,
}

/// What an instance has to do next.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outbox {
    /// Messages to send.
    pub messages: Vec<(InstanceId, QuotaMessage)>,
    /// Calls that wait no longer.
    pub decisions: Vec<(ClaimId, Decision)>,
}

/// The quotas at one entry instance.
#[derive(Debug, Clone)]
pub struct Quotas {
    own: InstanceId,
    claims: Claims,
    allocator: Allocator,
    view: QuotaView,
    /// Budgets of all teams with a quota, sorted.
    budgets: Vec<(TeamName, Budget)>,
    /// The allocator of the own region for each team that was looked up, sorted by team.
    allocators: Vec<(TeamName, Option<InstanceId>)>,
    /// When this instance last did anything.
    active_at: Option<Time>,
    outbox: Outbox,
}

impl Quotas {
    /// The state of an instance that has just started; see [`Claims::new`] for `first_id`.
    pub fn new(own: InstanceId, first_id: u32) -> Quotas {
        Quotas {
            own,
            claims: Claims::new(first_id),
            allocator: Allocator::default(),
            view: QuotaView::default(),
            budgets: Vec::new(),
            allocators: Vec::new(),
            active_at: None,
            outbox: Outbox::default(),
        }
    }

    /// Sets the budgets of all teams with a quota, sorted by team.
    pub fn set_budgets(&mut self, now: Time, budgets: Vec<(TeamName, Budget)>) {
        self.detect_freeze(now);
        if self.budgets != budgets {
            self.budgets = budgets;
            self.claims.set_budgets(now, &self.budgets);
            let teams = self.allocated_teams();
            self.allocator.set_teams(now, teams, false);
        }
    }

    /// Applies the live instances. Has to be called more often than once a second, also when they
    /// have not changed, because a longer pause counts as a stall of the process.
    pub fn set_view(&mut self, now: Time, view: QuotaView) {
        self.detect_freeze(now);
        if view.peak_entries.is_some() {
            self.allocator.set_live(now, view.own_region.len());
        }
        if self.view != view {
            let is_new = self.view.own_region != view.own_region
                || self.view.peak_entries.is_none() != view.peak_entries.is_none();
            self.view = view;
            if is_new {
                self.allocators.clear();
                let teams = self.allocated_teams();
                self.allocator.set_teams(now, teams, true);
            }
        }
    }

    /// Whether no team has a quota.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Whether a team has a quota.
    pub fn is_limited(&self, team: &TeamName) -> bool {
        self.claims.budget(team).is_some()
    }

    /// Number of teams whose pools this instance keeps.
    pub fn pools(&self) -> usize {
        self.allocator.len()
    }

    /// Whether this instance keeps the pool of a team.
    pub fn allocates(&mut self, team: &TeamName) -> bool {
        self.allocator.pool(team).is_some()
    }

    /// Asks for the cost of a call of a team with a quota. The decision is in this or a later
    /// [`Outbox`].
    pub fn claim(&mut self, now: Time, team: &TeamName, cost: u64) -> ClaimId {
        self.detect_freeze(now);
        let id = self.claims.next_id();
        if self.claims.take_refunded(now, team, cost) {
            self.outbox.decisions.push((id, Decision::Charged));
            return id;
        }
        self.claims.wait(now, id, team.clone(), cost);
        let call = AskedCall { id: id.0, cost, is_repeated: false };
        self.ask_self(now, team, &call);
        id
    }

    /// Returns the cost of a call that was charged at `charged` and has not run.
    pub fn refund(&mut self, now: Time, team: &TeamName, cost: u64, charged: Time) {
        self.claims.refund(now, team, cost, charged);
    }

    /// Handles a message of another instance.
    pub fn receive(&mut self, now: Time, from: &InstanceId, message: QuotaMessage) {
        self.detect_freeze(now);
        match message {
            QuotaMessage::Ask { teams } => {
                let mut answers = Vec::new();
                for (team, calls) in &teams {
                    let answered = calls.iter().map(|it| self.allocator.ask(now, from, team, it));
                    answers.extend(answered.flatten());
                    self.request_tokens(now, team);
                }
                if !answers.is_empty() {
                    self.outbox.messages.push((from.clone(), QuotaMessage::Answer { answers }));
                }
            }
            QuotaMessage::Answer { answers } => {
                let decided = answers.iter().filter_map(|it| self.claims.apply(now, it));
                self.outbox.decisions.extend(decided);
            }
            QuotaMessage::Want { team, tokens } => {
                let given = self.allocator.pool(&team).map_or(0, |pool| pool.give(now, tokens));
                if given > 0 {
                    let message = QuotaMessage::Give { team, tokens: given };
                    self.outbox.messages.push((from.clone(), message));
                }
            }
            QuotaMessage::Give { team, tokens } => {
                if let Some(pool) = self.allocator.pool(&team) {
                    pool.receive(now, tokens);
                }
            }
        }
    }

    /// Asks for calls that are due, and returns what is to be done. Has to be called after each other
    /// change, and at [`Quotas::next_due`].
    pub fn poll(&mut self, now: Time) -> Outbox {
        self.detect_freeze(now);
        let expired = self.claims.expire(now, self.view.peak_entries);
        self.outbox.decisions.extend(expired);
        let mut asks: Vec<(InstanceId, Vec<TeamCalls>)> = Vec::new();
        for claim in self.claims.due(now) {
            let call =
                AskedCall { id: claim.id.0, cost: claim.cost, is_repeated: claim.is_repeated };
            match self.allocator_of(&claim.team) {
                Some(to) if to != self.own => add_call(&mut asks, &to, claim.team, call),
                _ => self.ask_self(now, &claim.team, &call),
            }
        }
        let asked = asks.into_iter().map(|(to, teams)| (to, QuotaMessage::Ask { teams }));
        self.outbox.messages.extend(asked);
        std::mem::take(&mut self.outbox)
    }

    /// When [`Quotas::poll`] has to be called next.
    pub fn next_due(&self) -> Option<Time> {
        match self.outbox.messages.is_empty() && self.outbox.decisions.is_empty() {
            true => self.claims.next_due(),
            false => Some(Time::ZERO),
        }
    }

    /// Asks the own allocator for a waiting call.
    fn ask_self(&mut self, now: Time, team: &TeamName, call: &AskedCall) {
        if let Some(answer) = self.allocator.ask(now, &self.own, team, call) {
            self.outbox.decisions.extend(self.claims.apply(now, &answer));
            self.request_tokens(now, team);
        }
    }

    /// Requests tokens of other regions if the pool of a team is short of them.
    fn request_tokens(&mut self, now: Time, team: &TeamName) {
        let Some(tokens) = self.allocator.pool(team).and_then(|pool| pool.want(now)) else {
            return;
        };
        let regions = &self.view.other_regions;
        let tokens = tokens.div_ceil(regions.len().max(1) as u64);
        let allocators =
            regions.iter().filter_map(|it| cold::designated_instance(team.as_str(), it));
        let wanted =
            |to: &InstanceId| (to.clone(), QuotaMessage::Want { team: team.clone(), tokens });
        self.outbox.messages.extend(allocators.map(wanted));
    }

    /// The allocator of the own region for a team; `None` if no instance is live.
    fn allocator_of(&mut self, team: &TeamName) -> Option<InstanceId> {
        match self.allocators.binary_search_by(|it| it.0.cmp(team)) {
            Ok(at) => self.allocators[at].1.clone(),
            Err(at) => {
                let entries = &self.view.own_region;
                let found = cold::designated_instance(team.as_str(), entries).cloned();
                self.allocators.insert(at, (team.clone(), found.clone()));
                found
            }
        }
    }

    fn allocated_teams(&self) -> Vec<(TeamName, Budget)> {
        if self.view.peak_entries.is_none() {
            return Vec::new();
        }
        let is_own = |team: &TeamName| {
            cold::designated_instance(team.as_str(), &self.view.own_region) == Some(&self.own)
        };
        self.budgets.iter().filter(|it| is_own(&it.0)).cloned().collect()
    }

    fn detect_freeze(&mut self, now: Time) {
        let before = self.active_at.replace(now);
        if before.is_some_and(|before| now - before >= FREEZE_TIME) {
            self.allocator.restart(now);
        }
    }
}

fn add_call(
    asks: &mut Vec<(InstanceId, Vec<TeamCalls>)>,
    to: &InstanceId,
    team: TeamName,
    call: AskedCall,
) {
    let has_room =
        |teams: &[TeamCalls]| teams.iter().map(|it| it.1.len()).sum::<usize>() < MAX_MESSAGE_CALLS;
    let at = match asks.iter().position(|it| it.0 == *to && has_room(&it.1)) {
        Some(at) => at,
        None => {
            asks.push((to.clone(), Vec::new()));
            asks.len() - 1
        }
    };
    let teams = &mut asks[at].1;
    match teams.iter_mut().find(|it| it.0 == team) {
        Some((_, calls)) => calls.push(call),
        None => teams.push((team, vec![call])),
    }
}
