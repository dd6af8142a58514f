//! The listener for callers: pipelined requests run side by side and are answered in their order.

mod connection;
mod listener;

pub(crate) use listener::{Handler, Listener};

#[cfg(test)]
mod tests;
