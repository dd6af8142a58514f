//! Tests of the way of a request.

mod budget;
mod forwarder;
