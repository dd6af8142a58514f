//! Membership of the mesh.
//!
//! Each node announces itself and its target to the registrar of its data centre, the registrar
//! numbers the changes, and every node keeps a copy of the roster of all data centres.

mod member;
mod registrar;
mod suspicion;
mod view;

pub use member::{Member, Offer, Presence};
pub(crate) use registrar::Registrar;
pub use suspicion::Crash;
pub(crate) use suspicion::Suspicions;
pub(crate) use view::{ApplyOutcome, Roster, View};
pub use view::{Change, Position, Update};

#[cfg(all(test, feature = "standin"))]
mod tests;
