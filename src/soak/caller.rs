//! Callers: at every node, one task that sends requests and one that probes versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::soak::checker::{Checker, Outcome};
use crate::soak::{
    Endpoint, HOST, PORTS, SERVICES, Subnet, marker_prefix, route_prefix, tenant_of,
};

/// Pause between the requests of a sender.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Pause between the probes of a node.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of a request, also sent as its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Share of requests after which a sender opens a new connection.
const RECONNECT_SHARE: f64 = 0.1;

/// A caller's connection to a node, opened when needed.
pub(super) struct Connection {
    address: SocketAddr,
    streams: Option<(Stream<OwnedReadHalf>, OwnedWriteHalf)>,
}

impl Connection {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            streams: None,
        }
    }

    /// Sends a request and reads the response; closes the connection if either fails.
    pub(super) async fn exchange(&mut self, id: &str, path: &str) -> Outcome {
        let result = tokio::time::timeout(REQUEST_TIMEOUT, self.try_exchange(id, path)).await;
        if let Ok(Some(outcome)) = result {
            return outcome;
        }
        self.close();
        Outcome::Cut
    }

    async fn try_exchange(&mut self, id: &str, path: &str) -> Option<Outcome> {
        if self.streams.is_none() {
            let (reader, writer) = TcpStream::connect(self.address).await.ok()?.into_split();
            self.streams = Some((Stream::new(reader), writer));
        }
        let (reader, writer) = self.streams.as_mut()?;
        let timeout_ms = REQUEST_TIMEOUT.as_millis().try_into().unwrap_or(u64::MAX);
        let headers = sample::caller_headers(id, timeout_ms, Some(tenant_of(id).key));
        let request = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n{headers}\r\n");
        writer.write_all(request.as_bytes()).await.ok()?;
        let response = reader
            .read_response(&Method::GET, MAX_BODY_BYTES)
            .await
            .ok()?;
        if !response.keep_alive {
            self.close();
        }
        Some(Outcome::Answer {
            status: response.status.as_u16(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }

    fn close(&mut self) {
        self.streams = None;
    }
}

/// Handle of the running callers.
pub(super) struct Callers {
    tasks: JoinSet<()>,
    /// Dropped to stop the tasks.
    stop_sender: watch::Sender<()>,
}

impl Callers {
    /// Stops all callers after their requests in flight.
    pub(super) async fn stop(mut self) {
        drop(self.stop_sender);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts the callers of all nodes.
pub(super) fn start(subnet: Subnet, nodes: u8, checker: &Arc<Checker>, seed: u64) -> Callers {
    let (stop_sender, stopped) = watch::channel(());
    let mut tasks = JoinSet::new();
    for node in 0..nodes {
        let address = subnet.address(node, Endpoint::Node, PORTS.caller);
        let rng = StdRng::seed_from_u64(seed ^ u64::from(node));
        tasks.spawn(send_requests(
            address,
            rng,
            checker.clone(),
            stopped.clone(),
        ));
        tasks.spawn(probe_versions(address, checker.clone(), stopped.clone()));
    }
    Callers { tasks, stop_sender }
}

pub(super) fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Sends requests to random services, half of them idempotent, until the callers are stopped.
async fn send_requests(
    address: SocketAddr,
    mut rng: StdRng,
    checker: Arc<Checker>,
    mut stopped: watch::Receiver<()>,
) {
    let mut connection = Connection::new(address);
    loop {
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let path = format!("{}x", route_prefix(service, rng.random_bool(0.5)));
        let id = new_request_id();
        let outcome = connection.exchange(&id, &path).await;
        checker.record_outcome(&id, &path, &outcome);
        if rng.random_bool(RECONNECT_SHARE) {
            connection.close();
        }
        tokio::select! {
            () = tokio::time::sleep(REQUEST_PAUSE) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Checks that a process never goes back to an older version. Requests the marker routes of the
/// newest version and of the highest one that the node has served. As versions keep the marker of
/// their predecessor, a 404 for a marker served before is a violation unless that version is at
/// least two behind the newest. A restarted process may begin with an older version.
async fn probe_versions(
    address: SocketAddr,
    checker: Arc<Checker>,
    mut stopped: watch::Receiver<()>,
) {
    let mut connection = Connection::new(address);
    let mut highest_served: Option<u64> = None;
    loop {
        let newest = checker.newest_version();
        let served_before = highest_served;
        for version in [Some(newest), served_before].into_iter().flatten() {
            let id = new_request_id();
            let path = format!("{}x", marker_prefix(version));
            let outcome = connection.exchange(&id, &path).await;
            checker.record_outcome(&id, &path, &outcome);
            match outcome {
                Outcome::Answer { status: 200, .. } => {
                    if served_before.is_none_or(|served| version > served) {
                        highest_served = Some(version);
                    }
                }
                Outcome::Answer { status: 404, .. } if served_before == Some(version) => {
                    let marker_removed = checker.newest_version() >= version + 2;
                    if !marker_removed {
                        checker.record_violation(format!(
                            "CONFIG: {address} served version {version}, then answered 404 for it"
                        ));
                    }
                    highest_served = None;
                }
                // The process may have been restarted.
                Outcome::Cut => highest_served = None,
                Outcome::Answer { .. } => {}
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PROBE_PAUSE) => {}
            _ = stopped.changed() => return,
        }
    }
}
