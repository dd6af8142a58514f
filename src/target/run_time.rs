//! Run time of an answered request, which the target's node tells the caller's node in a header of
//! the response. The caller's node removes it.

use std::time::Duration;

use hyper::header::HeaderValue;

use crate::h1::Response;

/// Time in microseconds that the run would have taken at a target of the usual speed.
const HEADER: &str = "bluebellgap-run-us";

/// Adds the run time to a response.
pub(crate) fn attach(response: &mut Response, run_time: Duration) {
    let micros = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
    response.headers.insert(HEADER, HeaderValue::from(micros));
}

/// Removes the run time from a response.
pub(crate) fn detach(response: &mut Response) -> Option<Duration> {
    let value = response.headers.remove(HEADER)?;
    let micros = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}
