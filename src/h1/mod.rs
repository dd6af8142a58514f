//! HTTP/1.1 on a byte stream: heads are parsed by `httparse`, bodies are read whole.
//!
//! `hyper` serves one request of a connection at a time and does not expose the bytes that follow a
//! response. The listener for callers has to run pipelined requests concurrently, and the
//! connection to a target has to skip responses that belong to an earlier request.

mod head;
mod stream;

#[cfg(test)]
pub(crate) use head::Framing;
pub(crate) use head::{Request, Response};
pub(crate) use stream::{Fault, Stream};

#[cfg(test)]
mod tests;
