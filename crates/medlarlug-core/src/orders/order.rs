//! Orders and the fencing tokens that they carry.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterId, Incarnation, ModelId, Term, UpstreamId, VersionId};

/// Position of an order among all orders of its region. Engines that check it refuse an order with
/// a lower token than one that they have accepted.
///
/// ```
/// use medlarlug_core::{ids::Term, orders::FencingToken};
///
/// let old = FencingToken { term: Term(1), sequence: 9 };
/// let new = FencingToken { term: Term(2), sequence: 1 };
/// assert!(old < new);
/// assert_eq!(new.to_string(), "2.1");
/// ```
// Exported as `FencingToken`. Its own name is part of the error that a sender of an invalid order
// receives.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the issuer's lease.
    pub term: Term,
    /// Number of the order within the term, from 1.
    pub sequence: u64,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// What an engine is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompt processing only.
    Prefill,
    /// Generation only.
    Decode,
    /// Both.
    Mixed,
}

/// An operation that an engine is ordered to carry out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model version from the weight store.
    Load {
        /// Model that the version belongs to.
        model: ModelId,
        /// Version to load; other loaded versions of the model stay.
        version: VersionId,
    },
    /// Unload a model version.
    Unload {
        /// Model that the version belongs to.
        model: ModelId,
        /// Version to unload; other loaded versions of the model stay.
        version: VersionId,
    },
    /// Load an adapter from the weight store.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: ModelId,
        /// Adapter to load; announced in `LoadedModel::adapters` once loaded.
        adapter: AdapterId,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model that the adapter belongs to.
        model: ModelId,
        /// Adapter to unload; then no longer announced in `LoadedModel::adapters`.
        adapter: AdapterId,
    },
    /// Change the engine's role.
    ChangeRole(Role),
}

impl OrderKind {
    /// Whether the engine reads from the weight store to carry the order out, whose load rate is
    /// limited.
    pub fn is_load(&self) -> bool {
        matches!(self, OrderKind::Load { .. } | OrderKind::LoadAdapter { .. })
    }
}

/// An operation that an engine has to be ordered to carry out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// Incarnation of the engine; the order doesn't apply to any other.
    pub incarnation: Incarnation,
    /// What the engine has to do.
    pub kind: OrderKind,
}

/// A task with a fencing token, sent as JSON to `POST /v1/orders` of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Token by which the engine recognizes outdated orders.
    pub fence: Fence,
    /// The engine and what it has to do.
    pub task: Task,
}
