//! Who is in the mesh: targets announce themselves through their nodes, a registrar per data
//! centre numbers the changes, every node keeps the whole roster.

mod member;
mod registrar;
mod suspicion;
mod view;

pub use member::{Member, Offer, Presence};
pub(crate) use registrar::Registrar;
pub use suspicion::Crash;
pub(crate) use suspicion::Suspicions;
pub(crate) use view::{Applied, Roster, View};
pub use view::{Change, Position, Update};

#[cfg(all(test, feature = "standin"))]
mod tests;
