//! A target beside a node: it answers as the path of a request says, and sends heartbeats.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time for the listener of the case before to close, and the pause between attempts to bind.
const BIND_LIMIT: Duration = Duration::from_secs(20);
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Slots that a target reports: more than the requests that a node holds, so that nothing waits for
/// a slot.
const SLOTS: u32 = 1_000;
/// Time that a request to `slow` takes.
const SLOW: Duration = Duration::from_secs(10);
/// Length of the answer to a request to `large`.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// Length of a header of the answer to a request to `large-head`.
const LARGE_HEADER_BYTES: usize = 60_000;
/// An answer to a request that nobody has sent.
const FOREIGN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nbluebellgap-request-id: foreign\r\n\
    bluebellgap-server-stamp: crowd\r\ncontent-length: 2\r\n\r\nok";
const PIECE: [u8; 16 * 1024] = [b'x'; 16 * 1024];

/// Starts a target of `service` at `address`, which announces itself to `heartbeat`.
pub fn start(
    tasks: &mut JoinSet<()>,
    service: &'static str,
    address: SocketAddr,
    heartbeat: SocketAddr,
) {
    tasks.spawn(async move {
        let listener = bind(address).await;
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(async move {
                let _ = serve(stream).await;
            });
        }
    });
    tasks.spawn(async move {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let started = started.as_millis();
        for sequence in 1.. {
            let body = serde_json::json!({"Address": "", "born": started,
                "Info": {"Service": service, "Version": "v1", "Zone": "", "Slots": SLOTS},
                "Status": {"State": "ready", "Sequence": sequence, "ColdLeftS": 0}});
            let body = body.to_string();
            let request = format!(
                "PUT /instances/{service} HTTP/1.1\r\nhost: registry\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if let Ok(mut stream) = TcpStream::connect(heartbeat).await {
                let _ = stream.write_all(request.as_bytes()).await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            }
            tokio::time::sleep(HEARTBEAT_PERIOD).await;
        }
    });
}

/// Binds a listener. The runtime of the case before may still be closing the one that it had there.
async fn bind(address: SocketAddr) -> TcpListener {
    let started = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => assert!(started.elapsed() < BIND_LIMIT, "{address}: {error}"),
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Serves the requests of one connection until it closes.
async fn serve(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut path = String::new();
        let mut id = String::new();
        let mut length = 0;
        for number in 0.. {
            let mut line = String::new();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if number == 0 {
                line.split(' ')
                    .nth(1)
                    .unwrap_or_default()
                    .clone_into(&mut path);
            }
            match line.split_once(": ") {
                Some(("content-length", value)) => length = value.parse().unwrap_or(0),
                Some(("bluebellgap-request-id", value)) => value.clone_into(&mut id),
                _ => {}
            }
        }
        let body = (&mut stream).take(length);
        tokio::io::copy(&mut Box::pin(body), &mut tokio::io::sink()).await?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\nbluebellgap-server-stamp: crowd\r\n"
        );
        answer(stream.get_mut(), &path, head).await?;
    }
}

/// Answers as the last part of the path says.
async fn answer(stream: &mut TcpStream, path: &str, head: String) -> std::io::Result<()> {
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let status = "HTTP/1.1 200 ".to_owned();
    let (start, repeated): (String, &[u8]) = match path.rsplit('/').next().unwrap_or_default() {
        "endless" => (head + "\r\n", &PIECE),
        "length" => (
            format!("{head}content-length: {}\r\n\r\n", 1_u64 << 60),
            &PIECE,
        ),
        "garbage" => (String::new(), &PIECE),
        "status-line" => (status, &PIECE),
        "header-line" => (head + "x-header: ", &PIECE),
        "interim" => (String::new(), b"HTTP/1.1 100 Continue\r\n\r\n"),
        "foreign" => (String::new(), FOREIGN_ANSWER),
        "more" => (head + "content-length: 2\r\n\r\nok", &PIECE),
        "giant-chunk" => (format!("{head}{chunked}{:x}\r\n", 1_u64 << 60), &PIECE),
        "extension" => (head + chunked + "5;", &PIECE),
        "trailers" => (head + chunked + "0\r\n", b"x-trailer: 1\r\n"),
        "headers" => (head, b"x-header: 1\r\n"),
        last => {
            if last == "slow" {
                tokio::time::sleep(SLOW).await;
            }
            let length = if last == "large" { LARGE_BYTES } else { 2 };
            let large = if last == "large-head" {
                LARGE_HEADER_BYTES
            } else {
                0
            };
            let large = "x".repeat(large);
            let start = format!("{head}x-large: {large}\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(start.as_bytes()).await?;
            return stream.write_all(&vec![b'x'; length]).await;
        }
    };
    stream.write_all(start.as_bytes()).await?;
    loop {
        stream.write_all(repeated).await?;
    }
}
