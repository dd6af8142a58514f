//! Forwards requests of callers to targets: route lookup, choice of a target, retries and hedging.

mod attempt;
mod budget;
mod call;
mod explain;
mod forwarder;
mod latency;
mod overloads;

pub(crate) use budget::Limits;
pub(crate) use forwarder::Forwarder;

#[cfg(test)]
mod tests;
