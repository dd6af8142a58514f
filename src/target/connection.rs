//! Pool of HTTP/1.1 connections to the target, with one request at a time on each.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::h1::{Fault, Request, Response, Stream};
use crate::memory::Pool;

/// Timeout for opening a connection to the target, which is on the same VM; several times what it
/// takes at a busy target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused, even if the target announces a longer idle
/// timeout: half of the shortest idle timeout that targets are known to have.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Idle time after which a connection is not reused for a request that must not be repeated: the
/// target could close the idle connection as the request is sent, and the request would be lost.
const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// Most idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Largest response, and bytes that the responses which are being read may have together: a target may
/// send bytes without end, on several connections.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Most responses to other requests that are skipped before the one to a request. A connection carries
/// one request at a time, and a faulty target may answer each of the earlier ones once more.
const MAX_FOREIGN_RESPONSES: usize = 32;

/// Why a request got no usable response.
#[derive(Debug, derive_more::Display)]
pub(super) enum Failure {
    /// No connection could be opened; nothing was sent.
    #[display("connect: {_0}")]
    NotSent(String),
    /// All connections to the target are in use; nothing was sent.
    #[display("no connection left")]
    Full,
    /// The connection ended or broke before the whole response arrived.
    #[display("{_0}")]
    ConnectionLost(String),
    /// The bytes received are not a valid response, or exceed a size limit.
    #[display("spoiled: {_0}")]
    InvalidResponse(String),
    /// Too little memory was left for the response, or another message got its memory.
    #[display("too little memory")]
    NoMemory,
}

/// Largest number of failed requests that a connection may have carried; it closes after that many.
const MAX_FAILED_REQUESTS: usize = 32;

/// A connection to the target.
struct Connection {
    stream: Stream<TcpStream>,
    /// Ids of the requests that were answered with a failure. The target may send the same answer
    /// again, so a further attempt of such a request uses another connection.
    failed_requests: Vec<String>,
    /// Place among the connections that may be open.
    _permit: OwnedSemaphorePermit,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Idle time after which the connection is not reused.
    max_idle: Duration,
}

/// The connections to one target.
pub(super) struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    pool: Arc<Pool>,
    /// Connections that may still be opened.
    permits: Arc<Semaphore>,
}

impl Connections {
    /// Connections to the target at `address`, at most `limit`, whose responses are read into memory
    /// of `pool`.
    pub(super) fn new(address: SocketAddr, pool: &Pool, limit: usize) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            pool: pool.part(MAX_RESPONSE_BYTES),
            permits: Arc::new(Semaphore::new(limit)),
        }
    }

    /// Closes all idle connections, as when the target they lead to is gone.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    /// Sends the request with the id `request_id` and reads its whole response. `answers_request`
    /// gets the headers of a response and whether the connection is new; responses for which it
    /// returns false belong to earlier requests and are skipped. Dropping the future closes the
    /// connection.
    pub(super) async fn exchange(
        &self,
        request: &Request,
        request_id: &str,
        idempotent: bool,
        answers_request: impl Fn(&HeaderMap, bool) -> bool,
    ) -> Result<Response, Failure> {
        let max_idle = if idempotent {
            MAX_IDLE_TIME
        } else {
            MAX_IDLE_TIME_NON_IDEMPOTENT
        };
        let (mut connection, is_new) = match self.check_out(max_idle, request_id) {
            Some(connection) => (connection, false),
            None => (self.open().await?, true),
        };
        let written = connection.stream.write_request(request).await;
        written.map_err(|error| Failure::ConnectionLost(error.to_string()))?;
        for _ in 0..=MAX_FOREIGN_RESPONSES {
            let response = connection
                .stream
                .read_response(&request.method, MAX_RESPONSE_BYTES)
                .await;
            let response = response.map_err(|fault| match fault {
                Fault::Closed | Fault::CutOff(_) => Failure::ConnectionLost(fault.to_string()),
                Fault::NoMemory | Fault::Stalled => Failure::NoMemory,
                _ => Failure::InvalidResponse(fault.to_string()),
            })?;
            if answers_request(&response.headers, is_new) {
                if !response.status.is_success() {
                    connection.failed_requests.push(request_id.to_owned());
                }
                self.check_in(connection, &response);
                return Ok(response);
            }
            log::info!(
                event = "foreign_answer_skipped",
                status = response.status.as_u16();
                "skipped a response that belongs to another request"
            );
        }
        let cause = "too many responses to other requests";
        Err(Failure::InvalidResponse(cause.into()))
    }

    /// Whether the target accepts a new connection.
    pub(super) async fn can_connect(&self) -> bool {
        matches!(self.open().await, Ok(_) | Err(Failure::Full))
    }

    async fn open(&self) -> Result<Connection, Failure> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|_| {
            // An idle connection that is not suitable must not prevent a new one.
            self.clear();
            self.permits.clone().try_acquire_owned()
        });
        let permit = permit.map_err(|_| {
            self.pool.limits().record("target_connections");
            Failure::Full
        })?;
        let not_sent = |error: std::io::Error| Failure::NotSent(error.to_string());
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| Failure::NotSent("timed out".into()))?
            .map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        Ok(Connection {
            stream: Stream::with_pool(stream, self.pool.clone()),
            failed_requests: Vec::new(),
            _permit: permit,
        })
    }

    /// Takes an idle connection that was used less than `max_idle` ago and on which the request did
    /// not fail before. Drops those that the target has closed or may soon close.
    fn check_out(&self, max_idle: Duration, request_id: &str) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|entry| entry.idle_since.elapsed() < entry.max_idle && entry.is_reusable());
        let newest = idle.iter().rposition(|entry| {
            let failed_requests = &entry.connection.failed_requests;
            !failed_requests.iter().any(|id| id == request_id)
        })?;
        (idle[newest].idle_since.elapsed() < max_idle).then(|| idle.remove(newest).connection)
    }

    /// Keeps a connection for another request, unless the target closes it after the response,
    /// bytes beyond the response arrived on it, [`MAX_FAILED_REQUESTS`] failed on it, or
    /// [`MAX_IDLE_CONNECTIONS`] are kept already.
    fn check_in(&self, connection: Connection, response: &Response) {
        if !response.keep_alive
            || connection.stream.has_unread_bytes()
            || connection.failed_requests.len() >= MAX_FAILED_REQUESTS
        {
            return;
        }
        let max_idle = max_idle_from_keep_alive(&response.headers).unwrap_or(MAX_IDLE_TIME);
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                max_idle: max_idle.min(MAX_IDLE_TIME),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    /// Whether the target has neither sent bytes nor closed the connection since its last response.
    fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.connection.stream.get_ref().try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Half of the idle timeout in the `Keep-Alive` header; the rest is a margin for requests on their
/// way to the target.
fn max_idle_from_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        (name == "timeout").then(|| seconds.parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(seconds).mul_f64(0.5))
}
