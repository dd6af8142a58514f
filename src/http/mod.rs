//! HTTP/1 on top of `hyper`: bodies, a client connection pool and a server.

mod body;
mod pool;
mod server;

#[cfg(feature = "standin")]
pub(crate) use body::aborted_response;
pub(crate) use body::{Body, Release, ReleasingBody, empty, full, read_whole};
pub(crate) use pool::{Connection, Pool, SendError};
pub(crate) use server::{Handler, Server, bind, json};
