//! Orders to an engine, with or without a check of the fencing number.

use medlarlug_core::{
    announcement::LoadedModel,
    ids::{Incarnation, ModelId},
    orders::{FencingToken, Order, OrderKind, Role},
};
use smol_str::SmolStr;
use thiserror::Error;

/// An order is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// A newer order was taken, or another one under the same number.
    #[error("the order's fencing number {old} is not above {newest}")]
    Stale {
        /// Number of the refused order.
        old: FencingToken,
        /// The newest number that was taken.
        newest: FencingToken,
    },
    /// The order is meant for another incarnation.
    #[error("the order is meant for incarnation {meant}, this is {own}")]
    Incarnation {
        /// Incarnation that the order names.
        meant: Incarnation,
        /// Incarnation of the engine.
        own: Incarnation,
    },
}

/// The orders that an engine took and what they led to.
///
/// ```
/// use medlarlug::standin::orders::OrderBook;
/// use medlarlug_core::{
///     ids::{Incarnation, Term},
///     orders::{FencingToken, Order, OrderKind, Role, Task},
/// };
///
/// let order = |term, role| Order {
///     fence: FencingToken { term: Term(term), sequence: 1 },
///     task: Task {
///         upstream: "engine-1".parse().unwrap(),
///         incarnation: Incarnation(1),
///         kind: OrderKind::ChangeRole(role),
///     },
/// };
/// let mut book = OrderBook::new(true, Vec::new());
/// assert!(book.take(Incarnation(1), order(2, Role::Decode)).is_ok());
/// assert!(book.take(Incarnation(1), order(1, Role::Prefill)).is_err());
/// assert_eq!(book.role, Role::Decode);
/// ```
#[derive(Debug)]
pub struct OrderBook {
    checks: bool,
    /// Orders that were taken, in turn.
    pub taken: Vec<Order>,
    /// Loaded model versions, sorted.
    pub models: Vec<LoadedModel>,
    /// The role.
    pub role: Role,
}

impl OrderBook {
    /// An engine that starts with `models` and that `checks` fencing numbers or doesn't.
    pub fn new(checks: bool, models: Vec<LoadedModel>) -> OrderBook {
        OrderBook { checks, taken: Vec::new(), models, role: Role::Mixed }
    }

    /// Carries an order out. The last order sent again is carried out once.
    ///
    /// # Errors
    ///
    /// Fails when fencing numbers are checked and a newer one, or another order with the same
    /// one, was taken before, or when the order is meant for another incarnation.
    pub fn take(&mut self, own: Incarnation, order: Order) -> Result<(), OrderError> {
        let newest = self.taken.iter().map(|it| it.fence).max().unwrap_or_default();
        if self.checks && newest >= order.fence {
            if self.taken.last() == Some(&order) {
                return Ok(());
            }
            return Err(OrderError::Stale { old: order.fence, newest });
        }
        if self.checks && order.task.incarnation != own {
            return Err(OrderError::Incarnation { meant: order.task.incarnation, own });
        }
        self.carry_out(&order.task.kind);
        self.taken.push(order);
        Ok(())
    }

    /// Whether it can serve `name`, which reads `model` or `model:adapter`.
    pub fn serves(&self, name: &str) -> bool {
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        self.models
            .iter()
            .filter(|it| it.model.as_str() == model)
            .any(|it| adapter.is_none_or(|name| it.adapters.iter().any(|one| one.as_str() == name)))
    }

    /// The names of what it serves.
    pub fn names(&self) -> Vec<SmolStr> {
        let mut names: Vec<SmolStr> =
            self.models.iter().map(|it| it.model.as_str().into()).collect();
        names.dedup();
        names
    }

    fn carry_out(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Load { model, version } => {
                let is_known = |it: &LoadedModel| (&it.model, &it.version) == (model, version);
                if !self.models.iter().any(is_known) {
                    let (model, version) = (model.clone(), version.clone());
                    self.models.push(LoadedModel { model, version, adapters: Vec::new() });
                    self.models.sort();
                }
            }
            OrderKind::Unload { model, version } => {
                self.models.retain(|it| (&it.model, &it.version) != (model, version));
            }
            OrderKind::LoadAdapter { model, adapter } => self.each_version(model, |it| {
                if let Err(place) = it.adapters.binary_search(adapter) {
                    it.adapters.insert(place, adapter.clone());
                }
            }),
            OrderKind::UnloadAdapter { model, adapter } => {
                self.each_version(model, |it| it.adapters.retain(|one| one != adapter));
            }
            OrderKind::ChangeRole(role) => self.role = *role,
        }
    }

    fn each_version(&mut self, model: &ModelId, change: impl Fn(&mut LoadedModel)) {
        self.models.iter_mut().filter(|it| it.model == *model).for_each(change);
    }
}
