//! Requests and responses: parsing of their heads, and serialisation.

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};

use crate::h1::Fault;
use crate::status;

const MAX_HEADERS: usize = 128;

/// Headers that concern one connection only and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No body.
    Empty,
    /// The number of bytes given by `Content-Length`.
    Length(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// All bytes until the connection closes.
    UntilClose,
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub method: Method,
    /// Request target: path and query as sent.
    pub target: String,
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

impl Response {
    /// A plain-text response that the node itself generates.
    pub(crate) fn text(status: StatusCode, text: &str) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static("text/plain"));
        Self {
            status,
            headers,
            body: Bytes::copy_from_slice(text.as_bytes()),
            keep_alive: true,
        }
    }

    /// Appends the serialised head. `close` announces that the connection closes after the response.
    pub(crate) fn write_head(&self, out: &mut BytesMut, close: bool) {
        let reason = self.status.canonical_reason().unwrap_or("Unknown");
        let line = format!("HTTP/1.1 {} {reason}\r\n", self.status.as_u16());
        out.extend_from_slice(line.as_bytes());
        write_headers(out, &self.headers);
        if !self.has_no_body() {
            let length = format!("content-length: {}\r\n", self.body.len());
            out.extend_from_slice(length.as_bytes());
        }
        if close {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }

    /// The body as it is written; `omit` leaves it out, as for `HEAD`.
    pub(crate) fn written_body(&self, omit: bool) -> &[u8] {
        if omit || self.has_no_body() {
            &[]
        } else {
            &self.body
        }
    }

    fn has_no_body(&self) -> bool {
        self.status == StatusCode::NO_CONTENT || self.status == StatusCode::NOT_MODIFIED
    }
}

impl Request {
    /// Appends the serialised head.
    pub(crate) fn write_head(&self, out: &mut BytesMut) {
        let line = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        out.extend_from_slice(line.as_bytes());
        write_headers(out, &self.headers);
        let expects_body = matches!(self.method, Method::POST | Method::PUT | Method::PATCH);
        if expects_body || !self.body.is_empty() {
            let length = format!("content-length: {}\r\n", self.body.len());
            out.extend_from_slice(length.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends all headers except the hop-by-hop ones and `Content-Length`, which `write` appends.
fn write_headers(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if is_hop_by_hop(name.as_str()) || name == "content-length" {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
}

/// A parsed request head, its length in bytes and the framing of the body.
pub(super) type ParsedRequest = (Request, usize, Framing);
/// A parsed response head, its length in bytes and the framing of the body.
pub(super) type ParsedResponse = (Response, usize, Framing);

/// Parses a request head; `None` while it is incomplete.
pub(super) fn parse_request(buffer: &[u8]) -> Result<Option<ParsedRequest>, Fault> {
    let mut headers_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers_buffer);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(Fault::Malformed(error.to_string())),
    };
    let method = parsed.method.unwrap_or_default().parse::<Method>();
    let method = method.map_err(|error| Fault::Malformed(error.to_string()))?;
    let headers = header_map(parsed.headers)?;
    let framing = match body_framing(&headers)? {
        Some(framing) => framing,
        None => Framing::Empty,
    };
    let request = Request {
        method,
        target: parsed.path.unwrap_or_default().to_owned(),
        keep_alive: keeps_alive(&headers, parsed.version),
        headers,
        body: Bytes::new(),
    };
    Ok(Some((request, length, framing)))
}

/// Parses a response head; `None` while it is incomplete.
pub(super) fn parse_response(
    buffer: &[u8],
    method: &Method,
) -> Result<Option<ParsedResponse>, Fault> {
    let mut headers_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers_buffer);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(Fault::Malformed(error.to_string())),
    };
    let code = parsed.code.unwrap_or_default();
    let status = StatusCode::from_u16(code)
        .ok()
        .filter(|status| status::is_final(*status) || status::is_interim(*status));
    let status = status.ok_or_else(|| Fault::Malformed(format!("status code {code:03}")))?;
    let headers = header_map(parsed.headers)?;
    let has_no_body = method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let framing = if has_no_body {
        Framing::Empty
    } else {
        body_framing(&headers)?.unwrap_or(Framing::UntilClose)
    };
    let response = Response {
        status,
        keep_alive: keeps_alive(&headers, parsed.version) && framing != Framing::UntilClose,
        headers,
        body: Bytes::new(),
    };
    Ok(Some((response, length, framing)))
}

fn header_map(parsed: &[httparse::Header]) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Fault::Malformed(format!("header {}", header.name))),
        };
    }
    Ok(headers)
}

/// Body framing that the headers give. Rejects a length together with chunks, and two lengths that
/// differ: the next hop could frame the body differently, so that one message hides another in its
/// body (request smuggling).
fn body_framing(headers: &HeaderMap) -> Result<Option<Framing>, Fault> {
    let mut lengths = headers.get_all("content-length").iter();
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(Fault::Malformed("two lengths".into()));
    }
    if let Some(encoding) = headers.get("transfer-encoding") {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !chunked || length.is_some() {
            return Err(Fault::Malformed("ambiguous length".into()));
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(length) = length else {
        return Ok(None);
    };
    let digits = length.to_str().unwrap_or_default();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Malformed("length is not a number".into()));
    }
    let length = digits.parse::<usize>();
    let length = length.map_err(|_| Fault::Malformed("length is too large".into()))?;
    Ok(Some(Framing::Length(length)))
}

/// Whether the connection stays open after the message; the default for HTTP/1.1, but not for 1.0.
fn keeps_alive(headers: &HeaderMap, version: Option<u8>) -> bool {
    let connection = headers.get("connection").and_then(|v| v.to_str().ok());
    let has = |token: &str| {
        connection.is_some_and(|value| {
            value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    };
    if version == Some(1) {
        !has("close")
    } else {
        has("keep-alive")
    }
}
