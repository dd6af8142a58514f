//! Canary releases: shifts the traffic of a service to another software version of its targets, and
//! back if that version is worse than the others.
//!
//! Decisions are pure: [`verdict`] compares two versions, [`plan`] decides on the next stage, and
//! [`election`] on who decides. [`Canary`] is what a node knows and counts; [`reports`] adds up the
//! counts of many nodes. Input and output are in `sidecar::rollouts`.

mod counts;
pub(crate) mod election;
mod order;
pub(crate) mod plan;
mod reports;
mod stage;
mod tally;
mod verdict;

pub(crate) use counts::{Canary, Flight, Rule, Turn};
pub(crate) use order::{Order, Record};
pub(crate) use plan::Limits;
pub(crate) use reports::{Message, Report, Reports, Share, Sum, Sums};
pub(crate) use stage::{Notice, Stage};
pub(crate) use tally::Tally;

#[cfg(test)]
mod tests;
