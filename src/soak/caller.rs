//! Callers: one that sends requests and one that probes versions, at every node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::h1::Stream;
use crate::platform::sample;
use crate::soak::ledger::{End, Ledger};
use crate::soak::{HOST, Net, PORTS, Role, SERVICES, marker, prefix};

const PAUSE: Duration = Duration::from_millis(15);
const PROBE_PAUSE: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(2);
const MAX_BODY: usize = 64 * 1024;
/// Share of requests after which a caller opens a new connection.
const FRESH_SHARE: f64 = 0.1;

/// A caller's connection, opened when needed.
pub(super) struct Connection {
    address: SocketAddr,
    open: Option<(Stream<OwnedReadHalf>, OwnedWriteHalf)>,
}

impl Connection {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open: None,
        }
    }

    /// Sends a request and reads its answer.
    pub(super) async fn exchange(&mut self, id: &str, path: &str) -> End {
        let exchange = tokio::time::timeout(PATIENCE, self.try_exchange(id, path)).await;
        if let Ok(Some(end)) = exchange {
            return end;
        }
        self.open = None;
        End::Cut
    }

    async fn try_exchange(&mut self, id: &str, path: &str) -> Option<End> {
        if self.open.is_none() {
            let (reader, writer) = TcpStream::connect(self.address).await.ok()?.into_split();
            self.open = Some((Stream::new(reader), writer));
        }
        let (reader, writer) = self.open.as_mut()?;
        let patience = PATIENCE.as_millis().try_into().unwrap_or(u64::MAX);
        let marks = sample::caller_headers(id, patience);
        let request = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n{marks}\r\n");
        writer.write_all(request.as_bytes()).await.ok()?;
        let response = reader.read_response(&Method::GET, MAX_BODY).await.ok()?;
        if !response.keep_alive {
            self.open = None;
        }
        Some(End::Answer {
            status: response.status.as_u16(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }

    fn close(&mut self) {
        self.open = None;
    }
}

/// Running callers.
pub(super) struct Callers {
    tasks: JoinSet<()>,
    running: watch::Sender<()>,
}

impl Callers {
    /// Ends all callers after the requests that they have sent.
    pub(super) async fn stop(mut self) {
        drop(self.running);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts the callers of all nodes.
pub(super) fn start(net: Net, nodes: u8, ledger: &Arc<Ledger>, seed: u64) -> Callers {
    let (running, stopped) = watch::channel(());
    let mut tasks = JoinSet::new();
    for node in 0..nodes {
        let address = net.address(node, Role::Node, PORTS.caller);
        let rng = StdRng::seed_from_u64(seed ^ u64::from(node));
        tasks.spawn(send(address, rng, ledger.clone(), stopped.clone()));
        tasks.spawn(probe(address, ledger.clone(), stopped.clone()));
    }
    Callers { tasks, running }
}

pub(super) fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn send(
    address: SocketAddr,
    mut rng: StdRng,
    ledger: Arc<Ledger>,
    mut stopped: watch::Receiver<()>,
) {
    let mut connection = Connection::new(address);
    loop {
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let path = format!("{}x", prefix(service, rng.random_bool(0.5)));
        let id = new_id();
        let end = connection.exchange(&id, &path).await;
        ledger.ended(&id, &path, &end);
        if rng.random_bool(FRESH_SHARE) {
            connection.close();
        }
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Asks for the marker of the highest version that the node has shown. While that version is not
/// two behind the newest, every process that showed it must show it again. A new process may start
/// with an older one.
async fn probe(address: SocketAddr, ledger: Arc<Ledger>, mut stopped: watch::Receiver<()>) {
    let mut connection = Connection::new(address);
    let mut shown: Option<(u64, Instant)> = None;
    loop {
        let newest = ledger.newest();
        let known = shown.map(|(version, _)| version);
        for version in [Some(newest), known].into_iter().flatten() {
            let id = new_id();
            let path = format!("{}x", marker(version));
            let end = connection.exchange(&id, &path).await;
            ledger.ended(&id, &path, &end);
            match end {
                End::Answer { status: 200, .. } => {
                    if known.is_none_or(|known| version > known) {
                        shown = Some((version, Instant::now()));
                    }
                }
                End::Answer { status: 404, .. } if known == Some(version) => {
                    let dropped = ledger.newest() >= version + 2;
                    if !dropped {
                        let what = format!("CONFIG: {address} had {version} and lost it");
                        ledger.violation(what);
                    }
                    shown = None;
                }
                // The process may have been replaced.
                End::Cut => shown = None,
                End::Answer { .. } => {}
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PROBE_PAUSE) => {}
            _ = stopped.changed() => return,
        }
    }
}
