//! Decisions under overload, apart from input, output and clocks: state and the current time go in,
//! a decision comes out. Each module names the load that it answers.

pub(crate) mod placement;
pub(crate) mod queue;
pub(crate) mod returning;

#[cfg(all(test, feature = "standin"))]
mod tests;
