//! Decisions under overload, apart from input, output and clocks: state and the current time go in,
//! a decision comes out. Each module names the load that it answers.

pub(crate) mod backlog;
pub(crate) mod cost;
pub(crate) mod placement;
pub(crate) mod queue;
pub(crate) mod returning;
pub(crate) mod shape;
pub(crate) mod speed;

#[cfg(all(test, feature = "standin"))]
mod tests;

#[cfg(test)]
mod cost_tests;

#[cfg(all(test, feature = "standin"))]
mod replay_tests;
