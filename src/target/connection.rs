//! Connections to the target, one request at a time on each.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use tokio::net::TcpStream;

use crate::h1::{Fault, Request, Response, Stream};

/// Time to open a connection on the same VM; several times the cost of one at a busy target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again where the target names none; half of the
/// shortest idle timeout that targets are known to have.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Idle time up to which a connection may carry a request that must not be repeated: a target that
/// closes an idle connection could otherwise lose it.
const FRESH_LIMIT: Duration = Duration::from_secs(1);
/// Idle connections kept at most.
const MAX_IDLE: usize = 24;
/// Largest answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a request got no answer.
#[derive(Debug, derive_more::Display)]
pub(super) enum Lost {
    /// No connection could be opened; nothing was sent.
    #[display("connect: {_0}")]
    Unsent(String),
    /// The connection ended or broke.
    #[display("{_0}")]
    Broken(String),
    /// What came is not a whole answer.
    #[display("spoiled: {_0}")]
    Spoiled(String),
}

struct Idle {
    stream: Stream<TcpStream>,
    since: Instant,
    limit: Duration,
}

/// Connections to one target.
pub(super) struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl Connections {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Drops all idle connections: they lead to a target that is gone.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    /// Sends a request and reads its whole answer. Answers for which `is_own` does not hold belong
    /// to earlier requests and are passed over. Dropping the future closes the connection.
    pub(super) async fn exchange(
        &self,
        request: &Request,
        idempotent: bool,
        is_own: impl Fn(&HeaderMap, bool) -> bool,
    ) -> Result<Response, Lost> {
        let limit = if idempotent { IDLE_LIMIT } else { FRESH_LIMIT };
        let (mut stream, fresh) = match self.check_out(limit) {
            Some(stream) => (stream, false),
            None => (self.open().await?, true),
        };
        let written = stream.write_request(request).await;
        written.map_err(|error| Lost::Broken(error.to_string()))?;
        loop {
            let answer = stream
                .read_response(&request.method, MAX_ANSWER_BYTES)
                .await;
            let answer = answer.map_err(|fault| match fault {
                Fault::Closed | Fault::CutOff(_) => Lost::Broken(fault.to_string()),
                _ => Lost::Spoiled(fault.to_string()),
            })?;
            if is_own(&answer.headers, fresh) {
                self.check_in(stream, &answer);
                return Ok(answer);
            }
            log::info!(event = "foreign_answer_skipped", status = answer.status.as_u16(); "");
        }
    }

    /// Whether a connection can be opened.
    pub(super) async fn probe(&self) -> bool {
        self.open().await.is_ok()
    }

    async fn open(&self) -> Result<Stream<TcpStream>, Lost> {
        let unsent = |error: std::io::Error| Lost::Unsent(error.to_string());
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| Lost::Unsent("timed out".into()))?
            .map_err(unsent)?;
        stream.set_nodelay(true).map_err(unsent)?;
        Ok(Stream::new(stream))
    }

    fn check_out(&self, limit: Duration) -> Option<Stream<TcpStream>> {
        let mut idle = self.lock();
        idle.retain(|entry| entry.since.elapsed() < entry.limit && entry.is_quiet());
        let newest = idle.pop()?;
        if newest.since.elapsed() < limit {
            return Some(newest.stream);
        }
        idle.push(newest);
        None
    }

    /// Keeps a connection for another request, unless more bytes than the answer came on it.
    fn check_in(&self, stream: Stream<TcpStream>, answer: &Response) {
        if !answer.keep_alive || stream.has_leftover() {
            return;
        }
        let limit = keep_alive_limit(&answer.headers).unwrap_or(IDLE_LIMIT);
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                stream,
                since: Instant::now(),
                limit: limit.min(IDLE_LIMIT),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    /// Whether the target has neither sent anything nor closed the connection.
    fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.get_ref().try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Idle time that the target promises, less a margin for requests on their way.
fn keep_alive_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        (name == "timeout").then(|| seconds.parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(seconds).mul_f64(0.5))
}
