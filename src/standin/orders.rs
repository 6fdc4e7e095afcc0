//! Orders to an engine, with or without a check of the fencing token.

use medlarlug_core::{
    announcement::LoadedModel,
    ids::{Incarnation, ModelId},
    orders::{FencingToken, Order, OrderKind, Role},
};
use smol_str::SmolStr;
use thiserror::Error;

/// Why an order is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// A newer order, or another one with the same fencing token, was accepted before.
    #[error("the order's fencing number {old} is not above {newest}")]
    Stale {
        /// Fencing token of the refused order.
        old: FencingToken,
        /// The newest accepted fencing token.
        newest: FencingToken,
    },
    /// The order addresses another incarnation.
    #[error("the order is meant for incarnation {addressed}, this is {own}")]
    Incarnation {
        /// Incarnation that the order addresses.
        addressed: Incarnation,
        /// Current incarnation of the engine.
        own: Incarnation,
    },
}

/// The accepted orders of an engine and the state that results from them.
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
/// assert!(book.accept(Incarnation(1), order(2, Role::Decode)).is_ok());
/// assert!(book.accept(Incarnation(1), order(1, Role::Prefill)).is_err());
/// assert_eq!(book.role, Role::Decode);
/// ```
#[derive(Debug)]
pub struct OrderBook {
    checks_fencing: bool,
    /// Accepted orders, in order of arrival.
    pub accepted: Vec<Order>,
    /// Loaded model versions, sorted.
    pub models: Vec<LoadedModel>,
    /// Current role of the engine.
    pub role: Role,
}

impl OrderBook {
    /// An engine that starts with `models`; `checks_fencing` tells whether it checks fencing tokens
    /// and incarnations.
    pub fn new(checks_fencing: bool, models: Vec<LoadedModel>) -> OrderBook {
        OrderBook { checks_fencing, accepted: Vec::new(), models, role: Role::Mixed }
    }

    /// Applies an order. If the last order is sent again, it is not applied a second time.
    ///
    /// # Errors
    ///
    /// If fencing tokens are checked: fails when a newer order, or another one with the same token,
    /// was accepted before, or when the order addresses another incarnation.
    pub fn accept(&mut self, own: Incarnation, order: Order) -> Result<(), OrderError> {
        let newest = self.accepted.iter().map(|it| it.fence).max().unwrap_or_default();
        if self.checks_fencing && newest >= order.fence {
            if self.accepted.last() == Some(&order) {
                return Ok(());
            }
            return Err(OrderError::Stale { old: order.fence, newest });
        }
        if self.checks_fencing && order.task.incarnation != own {
            return Err(OrderError::Incarnation { addressed: order.task.incarnation, own });
        }
        self.apply(&order.task.kind);
        self.accepted.push(order);
        Ok(())
    }

    /// Whether the engine can serve `name`, which is `model` or `model:adapter`.
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

    /// Names of the loaded models.
    pub fn names(&self) -> Vec<SmolStr> {
        let mut names: Vec<SmolStr> =
            self.models.iter().map(|it| it.model.as_str().into()).collect();
        names.dedup();
        names
    }

    fn apply(&mut self, kind: &OrderKind) {
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
            OrderKind::LoadAdapter { model, adapter } => self.for_each_version(model, |it| {
                if let Err(index) = it.adapters.binary_search(adapter) {
                    it.adapters.insert(index, adapter.clone());
                }
            }),
            OrderKind::UnloadAdapter { model, adapter } => {
                self.for_each_version(model, |it| it.adapters.retain(|one| one != adapter));
            }
            OrderKind::ChangeRole(role) => self.role = *role,
        }
    }

    fn for_each_version(&mut self, model: &ModelId, change: impl Fn(&mut LoadedModel)) {
        self.models.iter_mut().filter(|it| it.model == *model).for_each(change);
    }
}
