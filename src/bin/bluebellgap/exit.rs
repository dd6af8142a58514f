//! Exit codes.

use std::process::ExitCode;

use bluebellgap::Error;

/// Any failure without a more specific code.
const FAILED: u8 = 1;
/// A file, a key, a signature or the command line is invalid.
pub(crate) const REJECTED: u8 = 2;
/// Another operator's change came first, or the rollout state does not allow the action.
const CONFLICT: u8 = 3;
/// The platform did not answer, or answered with an error.
const UNAVAILABLE: u8 = 4;

/// Maps the error of a failed command to its exit code.
pub(crate) fn code(report: &eyre::Report) -> ExitCode {
    let code = match report.downcast_ref::<Error>() {
        Some(Error::Invalid(_) | Error::Bundle(_) | Error::Signature(_)) => REJECTED,
        Some(Error::Conflict(_) | Error::State(_)) => CONFLICT,
        Some(Error::Unavailable(_)) => UNAVAILABLE,
        _ => FAILED,
    };
    ExitCode::from(code)
}
