//! The target beside a node: its identity, its slots and the connections to it.
//!
//! Only processes on the same VM can reach a target, so all its requests pass through its node. The
//! node alone determines the target's identity, from heartbeats, and decides whether the target
//! takes new requests, which request gets the next slot, and whether a response is complete.

mod connection;
mod guard;
mod identity;
mod limiter;
mod meter;
pub(crate) mod run_time;
mod runner;
mod running;

pub(crate) use identity::Outcome;
pub(crate) use runner::{Finding, Runner};

#[cfg(test)]
mod tests;
