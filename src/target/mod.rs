//! The target beside a node: who it is, its slots, and the connections to it.
//!
//! Only processes on its VM reach a target, so its node sees every request that it will ever run
//! and decides here, once, with facts: which identity the target has, whether it takes new work,
//! which request gets the next slot, and whether an answer is whole.

mod connection;
mod gate;
mod guard;
mod identity;
mod meter;
mod runner;

pub(crate) use identity::Outcome;
pub(crate) use runner::{Finding, Runner};

#[cfg(test)]
mod tests;
