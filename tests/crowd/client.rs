//! Clients outside the control of the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Host of all routes.
pub const HOST: &str = "crowd.example";
/// Time that a client leaves the mesh for one request.
const DEADLINE_MS: u64 = 20_000;
/// Bytes of a header of a pipelined request; its head is just within the limit.
const LARGE_HEADER_BYTES: usize = 15 * 1024;
/// Requests that a pipelining client sends, if the node takes them.
const PIPELINED: usize = 64;
/// Length that a frame of a link announces; larger frames are none.
const FRAME_BYTES: u32 = 15 * 1024 * 1024;
/// Pause before a client whose connection ended opens another one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that are written at once.
static PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];

/// The body of a client's request, and where it ends.
#[derive(Clone, Copy)]
pub enum Body {
    None,
    /// Announced length, and bytes that are sent.
    Announced(usize, usize),
    /// Bytes of the first chunk, if any, and of each further one, until `total` bytes are sent. The
    /// last chunk is never sent.
    Chunked {
        first: usize,
        size: usize,
        total: usize,
    },
}

#[derive(Clone, Copy)]
enum Behaviour {
    /// One request with a body, whose answer is read.
    Body(Body),
    /// Many requests with a header of so many bytes, none of whose answers are read.
    Pipeline(usize),
    /// Nothing, or a part of a head.
    Idle,
    /// Nothing.
    Silent,
    /// A frame of a link, without its last byte.
    Frame,
}

/// Clients that all do the same.
#[derive(Clone, Copy)]
pub struct Crowd {
    path: &'static str,
    behaviour: Behaviour,
    clients: usize,
    /// Header lines besides those of all requests.
    headers: &'static str,
    /// Bytes sent as the beginning of a body.
    opening: &'static [u8],
    /// Port of the listener; that for callers if absent.
    port: Option<u16>,
    /// Whether a client whose connection ended opens another one.
    persistent: bool,
}

impl Crowd {
    pub fn sending(path: &'static str, body: Body, clients: usize) -> Self {
        Self::new(path, Behaviour::Body(body), clients)
    }

    pub fn pipelining(path: &'static str, clients: usize) -> Self {
        Self::new(path, Behaviour::Pipeline(LARGE_HEADER_BYTES), clients)
    }

    /// As [`Self::pipelining`], with small heads.
    pub fn pipelining_small(path: &'static str, clients: usize) -> Self {
        Self::new(path, Behaviour::Pipeline(0), clients)
    }

    pub fn idle(clients: usize) -> Self {
        Self::new("/far/", Behaviour::Idle, clients)
    }

    /// Clients that send nothing.
    pub fn silent(clients: usize) -> Self {
        Self::new("", Behaviour::Silent, clients)
    }

    /// Clients that send a frame of a link, without its last byte.
    pub fn framing(clients: usize) -> Self {
        Self::new("", Behaviour::Frame, clients)
    }

    fn new(path: &'static str, behaviour: Behaviour, clients: usize) -> Self {
        Self {
            path,
            behaviour,
            clients,
            headers: "",
            opening: b"",
            port: None,
            persistent: false,
        }
    }

    /// Adds header lines to all requests, with the id of each request in place of `{id}` and
    /// the number of the client in place of `{index}`.
    pub fn with_headers(self, headers: &'static str) -> Self {
        Self { headers, ..self }
    }

    /// Begins all bodies of a known length with these bytes.
    pub fn with_opening(self, opening: &'static [u8]) -> Self {
        Self { opening, ..self }
    }

    /// Connects to another listener of the nodes than that for callers.
    pub fn at(self, port: u16) -> Self {
        Self {
            port: Some(port),
            ..self
        }
    }

    /// Replaces connections that end, until the crowd is dropped.
    pub fn persistent(self) -> Self {
        Self {
            persistent: true,
            ..self
        }
    }

    /// Connects all clients, which send until the returned set is dropped. A client whose connection
    /// is refused or broken gives up.
    pub async fn send(&self, node: SocketAddr) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        let node = SocketAddr::new(node.ip(), self.port.unwrap_or(node.port()));
        for index in 0..self.clients {
            let crowd = *self;
            clients.spawn(async move {
                loop {
                    if let Ok(stream) = TcpStream::connect(node).await {
                        let _ = crowd.run(stream, index).await;
                    }
                    if !crowd.persistent {
                        return;
                    }
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            });
        }
        tokio::task::yield_now().await;
        clients
    }

    async fn run(&self, mut stream: TcpStream, index: usize) -> std::io::Result<()> {
        let id = format!("crowd-{index}");
        let path = self.path;
        let headers = self.headers.replace("{index}", &index.to_string());
        let headers = |id: &str| headers.replace("{id}", id);
        match self.behaviour {
            Behaviour::Body(body) => {
                let (mut reader, mut writer) = stream.split();
                let framing = match body {
                    Body::None => String::new(),
                    Body::Announced(length, _) => format!("content-length: {length}\r\n"),
                    Body::Chunked { .. } => "transfer-encoding: chunked\r\n".into(),
                };
                writer
                    .write_all(head("POST", path, &id, &(framing + &headers(&id))).as_bytes())
                    .await?;
                writer.write_all(self.opening).await?;
                let body = match body {
                    Body::Announced(length, sent) => {
                        Body::Announced(length, sent.saturating_sub(self.opening.len()))
                    }
                    other => other,
                };
                tokio::select! {
                    sent = send_body(&mut writer, body) => sent?,
                    read = discard(&mut reader) => return read,
                }
                discard(&mut reader).await
            }
            Behaviour::Pipeline(header_bytes) => {
                let large = format!("x-large: {}\r\n", "x".repeat(header_bytes));
                for number in 0..PIPELINED {
                    let id = format!("{id}-{number}");
                    let header = large.clone() + &headers(&id);
                    stream
                        .write_all(head("GET", path, &id, &header).as_bytes())
                        .await?;
                }
                std::future::pending().await
            }
            Behaviour::Frame => {
                stream.write_all(&FRAME_BYTES.to_be_bytes()).await?;
                let (mut reader, mut writer) = stream.split();
                tokio::select! {
                    sent = send_bytes(&mut writer, FRAME_BYTES as usize - 1) => sent?,
                    read = discard(&mut reader) => return read,
                }
                discard(&mut reader).await
            }
            Behaviour::Silent => discard(&mut stream).await,
            Behaviour::Idle => {
                if index.is_multiple_of(2) {
                    stream.write_all(b"GET /far/ HTTP/1.1\r\nx: ").await?;
                }
                discard(&mut stream).await
            }
        }
    }
}

fn head(method: &str, path: &str, id: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nbluebellgap-request-id: {id}\r\n\
         bluebellgap-deadline-ms: {DEADLINE_MS}\r\n{headers}\r\n"
    )
}

async fn send_body(writer: &mut (impl AsyncWriteExt + Unpin), body: Body) -> std::io::Result<()> {
    match body {
        Body::None => Ok(()),
        Body::Announced(_, sent) => send_bytes(writer, sent).await,
        Body::Chunked { first, size, total } => {
            let mut left = total;
            if first > 0 {
                send_chunk(writer, first).await?;
                left -= first;
            }
            if size == 1 {
                return writer.write_all("1\r\nx\r\n".repeat(left).as_bytes()).await;
            }
            while left > 0 {
                let size = size.min(left);
                send_chunk(writer, size).await?;
                left -= size;
            }
            Ok(())
        }
    }
}

async fn send_chunk(writer: &mut (impl AsyncWriteExt + Unpin), size: usize) -> std::io::Result<()> {
    writer.write_all(format!("{size:x}\r\n").as_bytes()).await?;
    send_bytes(writer, size).await?;
    writer.write_all(b"\r\n").await
}

async fn send_bytes(
    writer: &mut (impl AsyncWriteExt + Unpin),
    count: usize,
) -> std::io::Result<()> {
    let mut left = count;
    while left > 0 {
        let sent = left.min(PIECE.len());
        writer.write_all(&PIECE[..sent]).await?;
        left -= sent;
    }
    Ok(())
}

/// Reads until the connection ends.
async fn discard(reader: &mut (impl AsyncReadExt + Unpin)) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    while reader.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Sends one ordinary request on a connection of its own; returns the status of its answer.
pub async fn request(node: SocketAddr, path: &str, body: &[u8]) -> Option<u16> {
    exchange(node, "POST", path, body).await
}

/// Asks whether a node is ready, at its admin listener; returns the status of the answer.
pub async fn check_health(admin: SocketAddr) -> Option<u16> {
    exchange(admin, "GET", "/ready", b"").await
}

/// Reads the status at a node's admin listener.
pub async fn status(admin: SocketAddr) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(admin).await?;
        let request = format!("GET /status HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let limit = Duration::from_millis(DEADLINE_MS);
    let answer = tokio::time::timeout(limit, exchange).await;
    answer.ok().and_then(Result::ok).unwrap_or_default()
}

async fn exchange(node: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(node).await.ok()?;
        let framing = format!("content-length: {}\r\nconnection: close\r\n", body.len());
        let head = head(method, path, "ordinary", &framing);
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let text = String::from_utf8_lossy(&answer);
        text.split(' ').nth(1)?.parse().ok()
    };
    let limit = Duration::from_millis(DEADLINE_MS);
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}
