//! A pool of HTTP/1 connections to one address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::http::{Body, Release, ReleasingBody, read_whole};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE: usize = 128;
const CONCURRENT_OPENS: usize = 8;

/// Why a request got no response.
#[derive(Debug, derive_more::Display)]
pub(crate) enum SendError {
    /// Proved: no byte of the request was sent.
    #[display("not sent: {_0}")]
    Unsent(String),
    /// The connection broke after the request may have been sent.
    #[display("connection lost: {_0}")]
    Lost(String),
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

struct Shared {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    opens: Semaphore,
}

/// Connections to one address, reused most recent first.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
}

/// A connection in use; it goes back to the pool when the response has been read to its end.
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    pool: Pool,
}

impl Release for Connection {
    fn release(self) {
        self.pool.check_in(self.sender);
    }
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let shared = Shared {
            address,
            idle: Mutex::new(Vec::new()),
            opens: Semaphore::new(CONCURRENT_OPENS),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a request on an idle connection, or on a new one where none is idle.
    pub(crate) async fn send(
        &self,
        mut request: Request<Body>,
    ) -> Result<Response<ReleasingBody<Incoming, Connection>>, SendError> {
        loop {
            let (mut sender, fresh) = match self.check_out() {
                Some(sender) => (sender, false),
                None => (self.open().await?, true),
            };
            if let Err(error) = sender.ready().await {
                if fresh {
                    return Err(SendError::Unsent(error.to_string()));
                }
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let pool = self.clone();
                    return Ok(
                        response.map(|body| ReleasingBody::new(body, Connection { sender, pool }))
                    );
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(SendError::Unsent(error.error().to_string())),
                    None => return Err(SendError::Lost(error.error().to_string())),
                },
            }
        }
    }

    /// Sends a request and reads the whole response, at most `limit` bytes, within `timeout`. A
    /// connection without answer may be silent for good, and others with it, so all idle ones are
    /// dropped then.
    pub(crate) async fn exchange(
        &self,
        request: Request<Body>,
        timeout: Duration,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), String> {
        let exchange = async {
            let response = self.send(request).await.map_err(|e| e.to_string())?;
            let (head, body) = response.into_parts();
            let bytes = read_whole(body, limit).await?;
            Ok((head.status, bytes))
        };
        if let Ok(answer) = tokio::time::timeout(timeout, exchange).await {
            return answer;
        }
        self.purge();
        Err("no answer in time".into())
    }

    /// Opens connections until `count` are idle; one at a time, so that it is never a storm.
    pub(crate) async fn warm(&self, count: usize) -> Result<(), SendError> {
        while self.lock().len() < count.min(MAX_IDLE) {
            let sender = self.open().await?;
            self.check_in(sender);
        }
        Ok(())
    }

    /// Drops every idle connection.
    pub(crate) fn purge(&self) {
        self.lock().clear();
    }

    async fn open(&self) -> Result<SendRequest<Body>, SendError> {
        let unsent = |error: &dyn std::fmt::Display| SendError::Unsent(error.to_string());
        let _permit = self.shared.opens.acquire().await.map_err(|e| unsent(&e))?;
        let connect = TcpStream::connect(self.shared.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| unsent(&"connect timed out"))?
            .map_err(|error| unsent(&error))?;
        stream.set_nodelay(true).map_err(|error| unsent(&error))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(&error))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn check_out(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        idle.retain(|entry| !entry.sender.is_closed() && entry.since.elapsed() < IDLE_TIMEOUT);
        idle.pop().map(|entry| entry.sender)
    }

    fn check_in(&self, sender: SendRequest<Body>) {
        let mut idle = self.lock();
        if !sender.is_closed() && idle.len() < MAX_IDLE {
            let since = Instant::now();
            idle.push(Idle { sender, since });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
