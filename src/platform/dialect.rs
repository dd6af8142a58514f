//! Implementation of [`crate::dialect::Dialect`]: the headers of requests and responses.

use std::time::Duration;

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use crate::bundle::{Bundle, Version};
use crate::canary::{Order, Record};
use crate::dialect::{self, Notice};
use crate::h1::{Request, Response};
use crate::platform::{config, notice, order};

/// Id of the request, on requests and responses.
pub(super) const REQUEST_ID: &str = "bluebellgap-request-id";
/// Time until the sender's deadline, in milliseconds.
pub(super) const DEADLINE_MS: &str = "bluebellgap-deadline-ms";
/// Identity of the target that the request is meant for; any other target refuses it with status
/// 421.
pub(super) const EXPECT_INSTANCE: &str = "bluebellgap-expect-instance";
/// Service of the VM on which the request originated.
pub(super) const CALLER_SERVICE: &str = "bluebellgap-caller-service";
/// Key of the caller's tenant.
pub(super) const CREDENTIAL: &str = "bluebellgap-credential";
/// Name of the tenant that the request belongs to.
pub(super) const TENANT: &str = "bluebellgap-tenant";
/// Stamp that a target sets on all its responses.
pub(super) const SERVER_STAMP: &str = "bluebellgap-server-stamp";
/// Header of a refusal by a target that did not run the request.
pub(super) const NOT_RUN: &str = "bluebellgap-not-run";
/// Status with which a target refuses a request that is meant for another target.
pub(super) const MISDIRECTED_STATUS: u16 = 421;

/// The platform's message formats and headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialect;

impl dialect::Dialect for Dialect {
    fn parse_notice(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, String> {
        notice::parse(method, path, body)
    }

    fn acknowledgement(&self) -> &'static str {
        "{}"
    }

    fn parse_version(&self, bytes: &[u8]) -> Result<(Version, Bundle), String> {
        config::parse(bytes)
    }

    fn version_key(&self) -> &'static str {
        config::ROW_KEY
    }

    fn order_prefix(&self) -> &'static str {
        order::KEY_PREFIX
    }

    fn parse_order(&self, key: &str, value: &str) -> Result<Order, String> {
        order::parse(key, value)
    }

    fn progress_key(&self, service: &str) -> String {
        order::progress_key(service)
    }

    fn render_progress(&self, record: &Record) -> serde_json::Value {
        order::render_progress(record)
    }

    fn parse_progress(&self, value: &str) -> Result<Record, String> {
        order::parse_progress(value)
    }

    fn set_target_headers(
        &self,
        request: &mut Request,
        id: &str,
        caller_service: &str,
        time_left: Duration,
    ) {
        let left_ms = time_left.as_millis().to_string();
        set(&mut request.headers, EXPECT_INSTANCE, id);
        set(&mut request.headers, CALLER_SERVICE, caller_service);
        set(&mut request.headers, DEADLINE_MS, &left_ms);
    }

    /// A request with several keys counts as one without any.
    fn credential<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let mut keys = headers.get_all(CREDENTIAL).iter();
        let key = keys.next().filter(|_| keys.next().is_none())?;
        key.to_str().ok()
    }

    fn set_tenant(&self, headers: &mut HeaderMap, tenant: Option<&str>) {
        headers.remove(CREDENTIAL);
        headers.remove(TENANT);
        if let Some(tenant) = tenant {
            set(headers, TENANT, tenant);
        }
    }

    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(REQUEST_ID)?.to_str().ok()
    }

    /// A target appends a dot and an id of its own to the id of the request that it runs.
    fn parent_request_id<'a>(&self, request_id: &'a str) -> Option<&'a str> {
        let (parent, _) = request_id.rsplit_once('.')?;
        Some(parent)
    }

    fn timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let text = headers.get(DEADLINE_MS)?.to_str().ok()?;
        let millis = text.trim().parse::<f64>().ok()?;
        Duration::try_from_secs_f64(millis / 1e3).ok()
    }

    fn is_rejection(&self, response: &Response) -> bool {
        response.headers.contains_key(NOT_RUN) || response.status.as_u16() == MISDIRECTED_STATUS
    }

    /// A target sets its stamp on every response, and sends bodies without any content encoding.
    fn is_genuine(&self, response: &Response) -> bool {
        response.headers.contains_key(SERVER_STAMP)
            && !response.headers.contains_key("content-encoding")
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!(
            event = "header_left_out",
            name = name;
            "invalid header value; the header is not set: {error}"
        ),
    }
}
