//! Distributed rate limiting: limits on the requests of a tenant, summed over all nodes.
//!
//! Each node admits requests on its own, by what it last heard of the use and demand of all nodes
//! ([`decision`]). Nodes report to an aggregator in their data centre ([`aggregate`]); aggregators
//! exchange sums. See `docs/design/quotas.md`.

mod aggregate;
mod decision;
mod node;
mod window;
mod wire;

use std::time::Duration;

pub(crate) use aggregate::{Aggregator, Output};
pub(crate) use decision::Limits;
pub(crate) use node::{Credit, Quotas};
#[cfg(test)]
pub(crate) use wire::Digest;
pub(crate) use wire::Message;

/// Interval of the full reports of a node, and of the sums and totals of an aggregator.
const REPORT_PERIOD: Duration = Duration::from_millis(400);
/// Interval at which nodes and aggregators check for changes that are reported early.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time without a report after which a node or data centre counts as not heard from. Two reports
/// may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(900);

#[cfg(test)]
mod tests;
