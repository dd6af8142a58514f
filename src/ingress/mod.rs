//! The HTTP/1.1 listener for callers: pipelined requests run concurrently and are answered in the
//! order in which they arrived.

mod connection;
mod listener;

pub(crate) use listener::{Handler, Listener};

#[cfg(test)]
mod tests;
