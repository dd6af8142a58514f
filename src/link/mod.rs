//! Links between nodes: one connection from each node to each peer that it sends requests to.
//!
//! A link multiplexes many requests, cancels them, and replaces a connection that no longer
//! responds. After reconnecting it queries the peer for the outcome of every unanswered request, so
//! that no answer is lost with a connection, and "not run" is reported for a request that was sent
//! only when the target's node has guaranteed it.

mod body;
mod frame;
mod jobs;
mod notices;
mod pace;
mod peer;
mod server;
mod session;

pub(crate) use frame::{
    Entry, Hello, Load, Message, Offer, PackedVersion, Reply, Status, Target, Update,
};
pub(crate) use peer::Link;
pub(crate) use server::{Fetch, Handler, listen};

#[cfg(test)]
mod tests;
