//! Which service a request goes to, and which of its targets.

mod balance;
mod budget;
mod endpoint;
mod table;

pub(crate) use balance::{Balancer, Place};
pub(crate) use budget::{Budget, Throttle};
pub(crate) use endpoint::{Endpoint, InFlight, Load, Outcome};
pub(crate) use table::{CompiledRoute, Table};
