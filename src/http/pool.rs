//! A pool of HTTP/1 client connections to one address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};

use crate::http::server::MAX_BUFFER_BYTES;
use crate::http::{Body, Release, ReleasingBody, read_whole};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_CONNECTIONS: usize = 128;
const MAX_CONCURRENT_CONNECTS: usize = 8;
/// Most interim responses before the final one. Servers send one or two.
const MAX_INTERIM_RESPONSES: usize = 32;

/// Why a request got no response.
#[derive(Debug, derive_more::Display)]
pub(crate) enum SendError {
    /// The request was certainly not sent, not even in part.
    #[display("not sent: {_0}")]
    Unsent(String),
    /// The connection failed when the request may have been sent, in whole or in part.
    #[display("connection lost: {_0}")]
    Lost(String),
    /// What arrived is not a response, or its head is too large. The request may have been sent.
    #[display("invalid response: {_0}")]
    Invalid(String),
}

/// The interim (1xx) responses to a request, which `hyper` skips.
#[derive(Default)]
struct Interim {
    count: AtomicUsize,
    too_many: Notify,
}

impl Interim {
    /// Counts the interim responses to a request.
    fn count(request: &mut Request<Body>) -> Arc<Self> {
        let interim = Arc::new(Self::default());
        let counter = interim.clone();
        hyper::ext::on_informational(request, move |_| {
            if counter.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                counter.too_many.notify_one();
            }
        });
        interim
    }
}

struct IdleConnection {
    sender: SendRequest<Body>,
    idle_since: Instant,
}

struct Shared {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    /// Limits how many connections are established at the same time.
    connect_permits: Semaphore,
}

/// Connections to one address; the one that was used last is reused first.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
}

/// A connection in use; it returns to the pool once the response has been read to its end.
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
            connect_permits: Semaphore::new(MAX_CONCURRENT_CONNECTS),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a request over an idle connection, or over a new one if there is none. An idle
    /// connection that turns out to be closed before the request is sent is replaced by another.
    pub(crate) async fn send(
        &self,
        mut request: Request<Body>,
    ) -> Result<Response<ReleasingBody<Incoming, Connection>>, SendError> {
        loop {
            let (mut sender, is_new) = match self.check_out() {
                Some(sender) => (sender, false),
                None => (self.connect().await?, true),
            };
            if let Err(error) = sender.ready().await {
                if is_new {
                    return Err(SendError::Unsent(error.to_string()));
                }
                continue;
            }
            let interim = Interim::count(&mut request);
            let sent = tokio::select! {
                sent = sender.try_send_request(request) => sent,
                () = interim.too_many.notified() => {
                    let fault = "too many interim responses";
                    return Err(SendError::Invalid(fault.into()));
                }
            };
            match sent {
                Ok(response) => {
                    let pool = self.clone();
                    return Ok(
                        response.map(|body| ReleasingBody::new(body, Connection { sender, pool }))
                    );
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(SendError::Unsent(error.error().to_string())),
                    None if error.error().is_parse() || error.error().is_parse_too_large() => {
                        return Err(SendError::Invalid(error.error().to_string()));
                    }
                    None => return Err(SendError::Lost(error.error().to_string())),
                },
            }
        }
    }

    /// Sends a request and reads the whole response, of at most `limit` bytes, within
    /// `timeout`.
    ///
    /// After a timeout all idle connections are dropped, because the one without response may be
    /// dead without having been closed, and others with it.
    pub(crate) async fn exchange(
        &self,
        request: Request<Body>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, String> {
        let exchange = async {
            let response = self.send(request).await.map_err(|e| e.to_string())?;
            let (head, body) = response.into_parts();
            let bytes = read_whole(body, limit).await?;
            Ok(Response::from_parts(head, bytes))
        };
        if let Ok(response) = tokio::time::timeout(timeout, exchange).await {
            return response;
        }
        self.drop_idle();
        Err("no response in time".into())
    }

    /// Opens connections until `count` are idle, one after the other so that the server is not
    /// flooded with them.
    pub(crate) async fn warm(&self, count: usize) -> Result<(), SendError> {
        while self.lock().len() < count.min(MAX_IDLE_CONNECTIONS) {
            let sender = self.connect().await?;
            self.check_in(sender);
        }
        Ok(())
    }

    /// Drops every idle connection.
    pub(crate) fn drop_idle(&self) {
        self.lock().clear();
    }

    async fn connect(&self) -> Result<SendRequest<Body>, SendError> {
        let unsent = |error: &dyn std::fmt::Display| SendError::Unsent(error.to_string());
        let _permit = self
            .shared
            .connect_permits
            .acquire()
            .await
            .map_err(|e| unsent(&e))?;
        let connecting = TcpStream::connect(self.shared.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unsent(&"connect timed out"))?
            .map_err(|error| unsent(&error))?;
        stream.set_nodelay(true).map_err(|error| unsent(&error))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(&error))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn check_out(&self) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        idle.retain(|entry| !entry.sender.is_closed() && entry.idle_since.elapsed() < IDLE_TIMEOUT);
        idle.pop().map(|entry| entry.sender)
    }

    fn check_in(&self, sender: SendRequest<Body>) {
        let mut idle = self.lock();
        if !sender.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            let idle_since = Instant::now();
            idle.push(IdleConnection { sender, idle_since });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
