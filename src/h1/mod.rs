//! HTTP/1.1 on a byte stream: heads by `httparse`, bodies read whole.
//!
//! `hyper` serves one request of a connection at a time and hides what follows an answer. The
//! listener for callers has to run pipelined requests side by side, and the connection to a target
//! has to skip answers that belong to an earlier request.

mod head;
mod stream;

#[cfg(test)]
pub(crate) use head::Framing;
pub(crate) use head::{Request, Response};
pub(crate) use stream::{Fault, Stream};

#[cfg(test)]
mod tests;
