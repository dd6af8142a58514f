//! Stages of an order, and the notice by which nodes learn of them.

use serde::{Deserialize, Serialize};

/// Stage of an order. Stages are in the order in which they replace each other: of two stages of one
/// order, the higher one holds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub(crate) enum Stage {
    /// The target version receives a small share of the requests.
    #[display("trial")]
    Trial,
    /// The target version receives all requests; others may still be in flight at other versions.
    #[display("shift")]
    Shift,
    /// The target version was found to be bad and receives no request; not stored yet.
    #[display("withdrawn")]
    Withdrawn,
    /// As [`Stage::Withdrawn`], and stored.
    #[display("rolled_back")]
    RolledBack,
    /// The target version receives all requests, and the targets of other versions may stop. Above
    /// [`Stage::Withdrawn`], because it is stored only while no withdrawal is.
    #[display("done")]
    Done,
}

impl Stage {
    /// Whether no further stage follows.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Done)
    }

    /// Whether the stage is a step towards [`Stage::Done`], in which versions are compared.
    pub(crate) fn is_running(self) -> bool {
        matches!(self, Self::Trial | Self::Shift)
    }
}

/// What nodes tell each other of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// Service whose traffic shifts.
    pub service: String,
    /// Software version that the traffic shifts to.
    pub target: String,
    /// Identifies the order; a later order of the service has a higher number.
    pub order: u64,
    /// Stage of the order.
    pub stage: Stage,
    /// Share of its own requests that a node sends to the target version in [`Stage::Trial`].
    pub share: f64,
}

impl Notice {
    /// Whether this notice replaces `other`, a notice for the same service.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.order, self.stage) > (other.order, other.stage)
    }

    /// The notice of another stage of the same order.
    pub(crate) fn at(&self, stage: Stage) -> Self {
        Self {
            stage,
            ..self.clone()
        }
    }
}
