//! The error type of the library.

use std::io;

use crate::ini::Faults;

/// Result of a fallible library call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Everything that can go wrong outside the request path, which has its own
/// [`crate::verdict::Refusal`].
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum Error {
    /// A settings or bundle file does not hold what it should.
    #[display("{_0}")]
    #[from]
    Invalid(Faults),
    /// A bundle was rejected as a whole.
    #[display("bundle rejected: {_0}")]
    #[from(skip)]
    Bundle(String),
    /// A key or signature does not verify.
    #[display("signature rejected: {_0}")]
    #[from(skip)]
    Signature(String),
    /// The platform did not answer, or answered with a fault; a write may have taken effect.
    #[display("platform unavailable: {_0}")]
    #[from(skip)]
    Unavailable(String),
    /// A conditional write lost against another writer.
    #[display("conflict: {_0}")]
    #[from(skip)]
    Conflict(String),
    /// The rollout state does not allow the requested action.
    #[display("not possible now: {_0}")]
    #[from(skip)]
    State(String),
    /// A peer refused or could not be reached.
    #[display("peer failed: {_0}")]
    #[from(skip)]
    Peer(String),
    /// A file or socket operation failed.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
}

impl std::error::Error for Error {}
