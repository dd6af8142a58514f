//! Error type of the library.

use std::io;

use crate::ini::Faults;

/// Result of a fallible library call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of everything but the request path, which answers callers with a
/// [`crate::verdict::Refusal`] instead.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum Error {
    /// A settings or bundle file is invalid; lists every error in it.
    #[display("{_0}")]
    #[from]
    Invalid(Faults),
    /// A bundle is invalid; nothing of it was applied.
    #[display("bundle rejected: {_0}")]
    #[from(skip)]
    Bundle(String),
    /// A key is malformed or a signature does not verify.
    #[display("signature rejected: {_0}")]
    #[from(skip)]
    Signature(String),
    /// The platform did not answer in time, or answered with an error or with malformed data; a
    /// write may have taken effect.
    #[display("platform unavailable: {_0}")]
    #[from(skip)]
    Unavailable(String),
    /// A condition of a write did not hold, usually because another writer came first.
    #[display("conflict: {_0}")]
    #[from(skip)]
    Conflict(String),
    /// The current state of a rollout or lease does not allow the action.
    #[display("not possible now: {_0}")]
    #[from(skip)]
    State(String),
    /// A peer node refused a request or could not be reached.
    #[display("peer failed: {_0}")]
    #[from(skip)]
    Peer(String),
    /// A file or socket operation failed.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
}

impl std::error::Error for Error {}
