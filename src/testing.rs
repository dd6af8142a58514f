//! Helpers of unit tests: a target whose behaviour is scripted, sample messages and a polling wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hyper::Method;
use hyper::header::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

use crate::h1::{Request, Response, Stream};
use crate::link::{Entry, Fetch, Handler, Hello, Offer, PackedVersion, Status, Target, Update};
use crate::memory::Pool;
use crate::roster::Presence;
use crate::telemetry::{Counters, Limits};
use crate::verdict::{Reason, Refusal};

/// Memory for messages of tests.
pub(crate) fn pool(bytes: usize) -> Arc<Pool> {
    Pool::new(bytes, Limits::new(Arc::new(Counters::new())))
}

/// What a [`ScriptedTarget`] does with one request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Writes this answer, with `{id}` replaced by the request's id.
    Answer(&'static str),
    /// Writes this answer after a delay.
    AnswerAfter(Duration, &'static str),
    /// Writes this answer, then closes the connection.
    AnswerAndClose(&'static str),
    /// Writes the last answer on the connection once more, if there is one, then this answer.
    AnswerAfterCopy(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Keeps the connection open without an answer until the client closes it.
    NeverAnswer,
    /// Writes this text, then bytes without end until the client closes the connection.
    Endless(&'static str),
    /// Writes this text without end until the client closes the connection.
    EndlessCopies(&'static str),
}

/// A complete answer of a target with status 200.
pub(crate) const GOOD: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 2\r\n\r\nok";
/// A complete answer of a target with status 500.
pub(crate) const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\n\
    bluebellgap-request-id: {id}\r\nbluebellgap-server-stamp: s\r\ncontent-length: 3\r\n\r\nbad";

/// An answer of a target that did not run the request.
pub(crate) const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// A target that handles its n-th request, counted over all connections, by the n-th action of its
/// script. The last action applies to all further requests.
#[derive(Clone)]
pub(crate) struct ScriptedTarget {
    /// Address that it listens at.
    pub address: SocketAddr,
    requests: Arc<AtomicU32>,
    connections: Arc<AtomicU32>,
    abandoned_requests: Arc<AtomicU32>,
    endless_bytes: Arc<AtomicU32>,
    headers: Arc<std::sync::Mutex<Vec<HeaderMap>>>,
}

impl ScriptedTarget {
    pub(crate) async fn start(script: &[Action]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            abandoned_requests: Arc::default(),
            endless_bytes: Arc::default(),
            headers: Arc::default(),
        };
        let (acceptor, script) = (target.clone(), script.to_vec());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                acceptor.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(acceptor.clone().serve(stream, script.clone()));
            }
        });
        target
    }

    async fn serve(self, stream: TcpStream, script: Vec<Action>) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = Stream::new(reader);
        let mut last_answer = String::new();
        while reader.wait_for_bytes().await.is_ok() {
            let Ok((request, framing)) = reader.read_request_head(65_536).await else {
                return;
            };
            let _ = reader.read_body(framing, 65_536).await;
            let number = self.requests.fetch_add(1, Ordering::Relaxed) as usize;
            self.headers.lock().unwrap().push(request.headers.clone());
            let id = request.headers["bluebellgap-request-id"].to_str().unwrap();
            match &script[number.min(script.len() - 1)] {
                Action::Answer(text) => {
                    last_answer = text.replace("{id}", id);
                    let _ = writer.write_all(last_answer.as_bytes()).await;
                }
                Action::AnswerAfterCopy(text) => {
                    last_answer += &text.replace("{id}", id);
                    let _ = writer.write_all(last_answer.as_bytes()).await;
                }
                Action::AnswerAfter(delay, text) => {
                    tokio::time::sleep(*delay).await;
                    let _ = writer.write_all(text.replace("{id}", id).as_bytes()).await;
                }
                Action::AnswerAndClose(text) => {
                    let _ = writer.write_all(text.replace("{id}", id).as_bytes()).await;
                    return;
                }
                Action::Close => return,
                Action::Endless(text) => {
                    let _ = writer.write_all(text.replace("{id}", id).as_bytes()).await;
                    while writer.write_all(&vec![b'1'; 65_536]).await.is_ok() {
                        self.endless_bytes.fetch_add(65_536, Ordering::Relaxed);
                    }
                    return;
                }
                Action::EndlessCopies(text) => {
                    let copies = text.repeat(100);
                    while writer.write_all(copies.as_bytes()).await.is_ok() {}
                    return;
                }
                Action::NeverAnswer => {
                    let _ = reader.wait_for_bytes().await;
                    self.abandoned_requests.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
        }
    }

    /// Number of requests received.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Number of connections accepted.
    pub(crate) fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Number of unanswered requests whose client closed the connection.
    pub(crate) fn abandoned_requests(&self) -> u32 {
        self.abandoned_requests.load(Ordering::Relaxed)
    }

    /// Number of bytes written by [`Action::Endless`].
    pub(crate) fn endless_bytes(&self) -> u32 {
        self.endless_bytes.load(Ordering::Relaxed)
    }

    /// Headers of the last request received.
    pub(crate) fn last_headers(&self) -> Option<HeaderMap> {
        self.headers.lock().unwrap().last().cloned()
    }

    /// Value of a header of the last request received.
    pub(crate) fn header(&self, name: &str) -> String {
        let headers = self.headers.lock().unwrap();
        headers.last().unwrap()[name].to_str().unwrap().to_owned()
    }
}

/// A request without a body, as a node sends it to its target.
pub(crate) fn request(method: Method, target: &str, id: &str) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("host", "shop.example".parse().unwrap());
    headers.insert("bluebellgap-request-id", id.parse().unwrap());
    Request {
        method,
        target: target.into(),
        headers,
        body: bytes::Bytes::new(),
        keep_alive: true,
    }
}

/// An offer of a request to the service `booking`, with the time `left` until its deadline.
pub(crate) fn offer(idempotent: bool, left: Duration) -> Offer {
    let request_id = format!("{:x}", rand::random::<u64>());
    Offer {
        id: rand::random(),
        service: "booking".into(),
        route: "r".into(),
        caller_service: "servicing".into(),
        message: (&request(Method::GET, "/a", &request_id)).into(),
        request_id,
        idempotent,
        repeated: false,
        rank: 0,
        max_wait: left,
        objective: left,
        time_left: left,
        expected: Duration::from_millis(50),
        fingerprint: 7,
    }
}

/// The entry of a node that has a target of the service `booking`. Its loopback address is derived
/// from a hash of the node's name, so that nodes differ in it.
pub(crate) fn entry(node: &str, region: &str, data_center: &str, incarnation: u64) -> Entry {
    let [_, a, b, c] = xxh3_64(node.as_bytes()).to_le_bytes()[..4] else {
        unreachable!("the slice has four bytes");
    };
    let loopback = [127, a, b, c];
    Entry {
        node: node.into(),
        incarnation,
        revision: 0,
        address: SocketAddr::from((loopback, 9)),
        region: region.into(),
        data_center: data_center.into(),
        presence: Presence::Serving,
        target: Some(Target {
            id: format!("t-{node}"),
            started_ms: 1,
            sequence: 1,
            service: "booking".into(),
            slots: 10,
            cold_ms: 0,
            version: "v1".into(),
        }),
    }
}

/// A [`Handler`] of link messages that refuses every request and ignores every update.
pub(crate) struct NullHandler;

#[async_trait]
impl Handler for NullHandler {
    fn hello(&self) -> Hello {
        Hello {
            entry: entry("own", "bkk", "bkk-a", 1),
            status: Status::default(),
        }
    }

    async fn run(&self, _: Offer) -> Result<Response, Refusal> {
        Err(Refusal::not_run(Reason::NoTarget))
    }

    fn record_status(&self, _: &str, _: Status) -> Fetch {
        Fetch::default()
    }

    fn apply_update(&self, _: Update) {}

    fn roster(&self) -> Update {
        Update::default()
    }

    fn version_above(&self, _: u64) -> Option<PackedVersion> {
        None
    }

    fn apply_version(&self, _: &PackedVersion) {}
}

/// Polls until `condition` holds, for at least 5 s; then panics, with `what` in the message.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for: {what}");
}

/// Reads text until the peer closes the connection; invalid UTF-8 is replaced.
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}
