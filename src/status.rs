//! Which status codes a response may have.

use hyper::StatusCode;

/// Whether a response with this status ends an exchange. A target in trouble may send a code without a
/// meaning, such as 700; its bytes are not a response.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether another response follows one with this status. 101 is none of these: no request asks for
/// another protocol, so the bytes after it are not a response.
pub(crate) fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}
