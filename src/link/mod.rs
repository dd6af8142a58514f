//! Links between nodes: one connection from each node to each peer that it sends requests to.
//!
//! A link carries many requests at a time, cancels them, and replaces a connection that has
//! gone silent. After a replacement it asks for every request that is still unanswered, so that an
//! answer is never lost with a connection, and "not run" is said only when the target's node has
//! promised it.

mod frame;
mod jobs;
mod peer;
mod server;
mod session;

pub(crate) use frame::{Entry, Hello, Load, Message, Offer, Packed, Reply, Status, Target, Update};
pub(crate) use peer::Link;
pub(crate) use server::{Service, Wanted, listen};

#[cfg(test)]
mod tests;
