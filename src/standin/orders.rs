//! Orders to an engine, with or without a check of the fencing number.

use medlarlug_core::announcement::LoadedModel;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An order, as JSON of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Number of the order.
    pub fencing: Fencing,
    /// What to do.
    pub action: Action,
}

/// Orders the orders of all issuers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fencing {
    /// Term of the issuer.
    pub term: u64,
    /// Number within the term.
    pub sequence: u64,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model version and its adapters.
    Load(LoadedModel),
    /// Unload a model version.
    Unload(LoadedModel),
    /// Change role.
    Role(Role),
}

/// What part of the work an engine does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and generation.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// An order is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the order's fencing number is old; the newest seen has term {} and sequence {}", .newest.term, .newest.sequence)]
pub struct StaleOrder {
    /// The newest number that was accepted.
    pub newest: Fencing,
}

/// The orders that an engine took and what they led to.
#[derive(Debug)]
pub struct OrderBook {
    checks: bool,
    /// Accepted orders, in turn.
    pub accepted: Vec<Order>,
    /// Loaded model versions, sorted.
    pub models: Vec<LoadedModel>,
    /// The role.
    pub role: Role,
}

impl OrderBook {
    /// An engine that starts with `models` and that `checks` fencing numbers or doesn't.
    pub fn new(checks: bool, models: Vec<LoadedModel>) -> OrderBook {
        OrderBook { checks, accepted: Vec::new(), models, role: Role::default() }
    }

    /// Carries an order out. The last order sent again is carried out once.
    ///
    /// # Errors
    ///
    /// Fails when fencing numbers are checked and a newer one, or another order with the same
    /// one, was accepted before.
    pub fn take(&mut self, order: Order) -> Result<(), StaleOrder> {
        let newest = self.accepted.iter().map(|it| it.fencing).max();
        if self.checks && newest.is_some_and(|it| it >= order.fencing) {
            if self.accepted.last() == Some(&order) {
                return Ok(());
            }
            return Err(StaleOrder { newest: newest.unwrap_or_default() });
        }
        self.carry_out(&order.action);
        self.accepted.push(order);
        Ok(())
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Load(model) => {
                if let Err(place) = self.models.binary_search(model) {
                    self.models.insert(place, model.clone());
                }
            }
            Action::Unload(model) => {
                self.models.retain(|it| (&it.model, &it.version) != (&model.model, &model.version))
            }
            Action::Role(role) => self.role = *role,
        }
    }
}
