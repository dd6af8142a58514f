//! The way of a request from a caller to a target: route, choice of target, attempts, answer.

mod attempt;
mod budget;
mod call;
mod forwarder;
mod usual;

pub(crate) use budget::Limits;
pub(crate) use forwarder::Forwarder;

#[cfg(test)]
mod tests;
