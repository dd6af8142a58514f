//! Exit codes.

use std::process::ExitCode;

use bluebellgap::Error;

/// Anything that has no code of its own.
const FAILED: u8 = 1;
/// A file, a key or the command line does not hold what it should.
pub(crate) const REJECTED: u8 = 2;
/// Another operator was faster, or the state does not allow the action.
const CONFLICT: u8 = 3;
/// The platform did not answer.
const UNAVAILABLE: u8 = 4;

/// Exit code of a failed command.
pub(crate) fn code(report: &eyre::Report) -> ExitCode {
    let code = match report.downcast_ref::<Error>() {
        Some(Error::Invalid(_) | Error::Bundle(_) | Error::Signature(_)) => REJECTED,
        Some(Error::Conflict(_) | Error::State(_)) => CONFLICT,
        Some(Error::Unavailable(_)) => UNAVAILABLE,
        _ => FAILED,
    };
    ExitCode::from(code)
}
