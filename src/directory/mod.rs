//! The nodes that this node knows, and the choice of a target for a request.

mod endpoint;
mod index;

pub(crate) use endpoint::{Demand, Endpoint};
pub(crate) use index::{Directory, Locality};

#[cfg(test)]
mod tests;
