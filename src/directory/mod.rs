//! The nodes that this node knows, and the choice of a target for a request.

mod endpoint;
mod index;

#[cfg(feature = "standin")]
pub(crate) use endpoint::InFlight;
pub(crate) use endpoint::{Demand, Endpoint, LARGE_BODY_BYTES};
#[cfg(feature = "standin")]
pub(crate) use index::order;
pub(crate) use index::{Directory, Locality};

#[cfg(test)]
mod tests;
