//! Routing of requests to services and load balancing among the targets of a group.

mod balance;
mod budget;
mod endpoint;
mod table;

pub(crate) use balance::{Balancer, Locality};
pub(crate) use budget::{RetryBudget, Throttle};
pub(crate) use endpoint::{Endpoint, InFlight, Load, Outcome};
pub(crate) use table::{CompiledRoute, Table};
