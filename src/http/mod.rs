//! HTTP/1 on top of `hyper`: bodies, a client connection pool and a server.

mod activity;
mod body;
mod places;
mod pool;
mod server;

pub(crate) use activity::Activity;
#[cfg(feature = "standin")]
pub(crate) use body::aborted_response;
pub(crate) use body::{
    Body, BoundedBody, MeteredBody, ReadError, Release, ReleasingBody, empty, full, read_held,
    read_whole,
};
#[cfg(test)]
pub(crate) use places::{Admission, Table};
pub(crate) use places::{CLOSING_MARGIN, Place, Places};
pub(crate) use pool::{Connection, Pool, SendError};
pub(crate) use server::{Capacity, Handler, MAX_BUFFER_BYTES, Server, bind, json};

#[cfg(test)]
mod tests;
