//! The targets that this node knows, and which of them suits a request best.

mod book;
mod endpoint;

pub(crate) use book::{Directory, Locality};
pub(crate) use endpoint::Endpoint;

#[cfg(test)]
mod tests;
