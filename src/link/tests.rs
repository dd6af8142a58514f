//! Tests of links over loopback, through a relay that drops data on demand.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use hyper::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::canary;
use crate::h1::Response;
use crate::link::frame::{Frame, OfferId};
use crate::link::jobs::{Arrival, Jobs};
use crate::link::session;
use crate::link::{
    Entry, Fetch, Handler, Hello, Link, Message, Offer, PackedVersion, Reply, Status, Update,
    listen,
};
use crate::quota;
use crate::roster::Presence;
use crate::testing::{self, until};
use crate::verdict::{Reason, Refusal, Verdict};

/// Connections that may be open before their hello.
const MAX_UNKNOWN: usize = 64;

/// A link handler that answers each request after `delay`, and counts the requests.
struct Node {
    name: &'static str,
    incarnation: u64,
    delay: Duration,
    started: AtomicU32,
    completed: AtomicU32,
    /// Names of the nodes whose entries arrived.
    received_entries: Mutex<Vec<String>>,
}

impl Node {
    fn new(name: &'static str, incarnation: u64, delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            name,
            incarnation,
            delay,
            started: AtomicU32::new(0),
            completed: AtomicU32::new(0),
            received_entries: Mutex::default(),
        })
    }

    fn started(&self) -> u32 {
        self.started.load(Ordering::Relaxed)
    }

    fn completed(&self) -> u32 {
        self.completed.load(Ordering::Relaxed)
    }

    /// Whether an entry of the node `name` has arrived.
    fn received(&self, name: &str) -> bool {
        let received = self.received_entries.lock().unwrap();
        received.iter().any(|received| received == name)
    }

    /// Number of connections of the caller.
    fn hellos(&self) -> usize {
        let received = self.received_entries.lock().unwrap();
        received.iter().filter(|name| *name == "caller").count()
    }
}

#[async_trait]
impl Handler for Node {
    fn hello(&self) -> Hello {
        Hello {
            entry: Entry {
                node: self.name.into(),
                incarnation: self.incarnation,
                revision: 0,
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                region: "r".into(),
                data_center: "d".into(),
                presence: Presence::Serving,
                target: None,
            },
            status: Status::default(),
        }
    }

    async fn run(&self, _: Offer) -> Result<Response, Refusal> {
        self.started.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.delay).await;
        self.completed.fetch_add(1, Ordering::Relaxed);
        Ok(Response::text(StatusCode::OK, "done"))
    }

    fn record_status(&self, _: &str, _: Status) -> Fetch {
        Fetch::default()
    }

    fn apply_update(&self, update: Update) {
        let names = update.entries.into_iter().map(|entry| entry.node);
        self.received_entries.lock().unwrap().extend(names);
    }

    fn roster(&self) -> Update {
        Update::default()
    }

    fn version_above(&self, _: u64) -> Option<PackedVersion> {
        None
    }

    fn apply_version(&self, _: &PackedVersion) {}
}

/// A TCP relay between a link and a node that stops forwarding on demand.
#[derive(Default)]
struct Relay {
    /// While set, all bytes are dropped; connections stay open.
    dropping: AtomicBool,
    /// Connections that were open when this is incremented forward nothing any more, but stay open.
    mute_generation: AtomicU32,
    upstream: Mutex<Option<SocketAddr>>,
}

impl Relay {
    async fn start(upstream: SocketAddr) -> (Arc<Self>, SocketAddr) {
        let relay = Arc::new(Self::default());
        *relay.upstream.lock().unwrap() = Some(upstream);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().forward(stream));
            }
        });
        (relay, address)
    }

    async fn forward(self: Arc<Self>, stream: TcpStream) {
        let upstream = self.upstream.lock().unwrap().unwrap();
        let Ok(upstream) = TcpStream::connect(upstream).await else {
            return;
        };
        let generation = self.mute_generation.load(Ordering::Relaxed);
        let (from_link, to_link) = stream.into_split();
        let (from_node, to_node) = upstream.into_split();
        let mut directions = JoinSet::new();
        directions.spawn(self.clone().forward_one_way(from_link, to_node, generation));
        directions.spawn(self.clone().forward_one_way(from_node, to_link, generation));
        directions.join_next().await;
    }

    async fn forward_one_way(
        self: Arc<Self>,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        generation: u32,
    ) {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let muted = self.mute_generation.load(Ordering::Relaxed) != generation;
            if muted || self.dropping.load(Ordering::Relaxed) {
                continue;
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }

    fn mute_open_connections(&self) {
        self.mute_generation.fetch_add(1, Ordering::Relaxed);
    }
}

/// Serves links to `node` until the returned sender is dropped.
async fn serve(node: &Arc<Node>) -> (SocketAddr, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (running, stopped) = watch::channel(());
    tokio::spawn(listen(listener, node.clone(), MAX_UNKNOWN, stopped));
    (address, running)
}

fn offer(idempotent: bool) -> Offer {
    testing::offer(idempotent, Duration::from_secs(5))
}

fn caller() -> Arc<Node> {
    Node::new("caller", 1, Duration::ZERO)
}

/// Reason and verdict of a refusal; `None` for an answer.
fn verdict(reply: &Reply) -> Option<(Reason, Verdict)> {
    match reply {
        Reply::Answer(_) => None,
        Reply::Refused(refusal) => Some((refusal.reason, refusal.verdict)),
    }
}

const LOST: Option<(Reason, Verdict)> = Some((Reason::ConnectionLost, Verdict::MayHaveRun));
const UNREACHABLE: Option<(Reason, Verdict)> = Some((Reason::Unreachable, Verdict::NotRun));

#[tokio::test]
async fn requests_run_concurrently_on_one_connection() {
    let node = Node::new("n", 1, Duration::from_millis(100));
    let (address, _running) = serve(&node).await;
    let link = Link::new(address, caller());
    let started_at = std::time::Instant::now();
    let mut handles: Vec<_> = (0..20).map(|_| link.offer(offer(false))).collect();
    for handle in &mut handles {
        assert_eq!(verdict(&handle.reply().await), None);
    }
    assert!(started_at.elapsed() < Duration::from_secs(1));
    assert_eq!(node.completed(), 20);
}

#[tokio::test]
async fn dropping_an_offer_handle_cancels_the_request() {
    let node = Node::new("n", 1, Duration::from_secs(5));
    let (address, _running) = serve(&node).await;
    let link = Link::new(address, caller());
    let handle = link.offer(offer(true));
    until("started", || node.started() == 1).await;
    drop(handle);
    // The cancelled request stops at its node at once; the second shows that the link still works.
    let _second = link.offer(offer(true));
    until("second started", || node.started() == 2).await;
    assert_eq!(node.completed(), 0);
}

#[tokio::test]
async fn an_offer_to_an_unreachable_node_is_refused_as_not_run() {
    let address = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let link = Link::new(address, caller());
    assert_eq!(
        verdict(&link.offer(offer(false)).reply().await),
        UNREACHABLE
    );
}

/// Offers a request through a relay, disrupts the link while the request runs, and returns the
/// reply and the number of requests that were started.
async fn offer_on_disrupted_link(
    idempotent: bool,
    disrupt: impl AsyncFnOnce(&Relay),
) -> (Reply, u32) {
    let node = Node::new("n", 1, Duration::from_millis(1_200));
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    let mut handle = link.offer(offer(idempotent));
    until("started", || node.started() == 1).await;
    disrupt(&relay).await;
    let reply = tokio::time::timeout(Duration::from_secs(8), handle.reply()).await;
    (reply.unwrap(), node.started())
}

#[tokio::test]
async fn an_answer_is_fetched_on_a_new_connection_after_the_old_one_stalls() {
    let (reply, started) =
        offer_on_disrupted_link(false, async |relay| relay.mute_open_connections()).await;
    assert_eq!((verdict(&reply), started), (None, 1));
}

#[tokio::test]
async fn an_idempotent_request_is_refused_when_its_node_stops_responding() {
    let (reply, _) = offer_on_disrupted_link(true, async |relay| {
        relay.dropping.store(true, Ordering::Relaxed);
    })
    .await;
    assert_eq!(verdict(&reply), LOST);
}

/// Guards against requests that are given up while their target works on them, because their node is
/// short of processor time or bandwidth for a moment.
#[tokio::test]
async fn an_idempotent_request_survives_one_failed_attempt_to_reconnect() {
    let (reply, started) = offer_on_disrupted_link(true, async |relay| {
        relay.dropping.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        relay.dropping.store(false, Ordering::Relaxed);
    })
    .await;
    assert_eq!((verdict(&reply), started), (None, 1));
}

#[tokio::test]
async fn a_non_idempotent_request_waits_until_its_node_responds_again() {
    let (reply, started) = offer_on_disrupted_link(false, async |relay| {
        relay.dropping.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        relay.dropping.store(false, Ordering::Relaxed);
    })
    .await;
    assert_eq!((verdict(&reply), started), (None, 1));
}

/// Guards against a second run of a non-idempotent request whose reply is lost for longer than
/// replies are usually retained: the node answered that a request which it had forgotten did not run.
#[tokio::test]
async fn a_reply_is_fetched_after_a_long_partition() {
    let node = Node::new("n", 1, Duration::from_millis(100));
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    let mut handle = link.offer(testing::offer(false, Duration::from_secs(15)));
    until("started", || node.started() == 1).await;
    relay.dropping.store(true, Ordering::Relaxed);
    let node_address = relay.upstream.lock().unwrap().unwrap();
    // The node discards expired offers when others arrive.
    let other_link = Link::new(node_address, caller());
    for _ in 0..23 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(verdict(&other_link.offer(offer(false)).reply().await), None);
    }
    relay.dropping.store(false, Ordering::Relaxed);
    let reply = tokio::time::timeout(Duration::from_secs(3), handle.reply()).await;
    assert_eq!(verdict(&reply.unwrap()), None);
}

/// An update with the entry of the node `name`.
fn update(name: &str) -> Update {
    Update {
        entries: vec![testing::entry(name, "r", "d", 1)],
        ..Update::default()
    }
}

/// Starts a link through a relay, on which an update has arrived.
async fn link_with_update(node: &Arc<Node>) -> (Link, Arc<Relay>, watch::Sender<()>) {
    let (address, running) = serve(node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    link.send_update(update("first"));
    until("first update applied", || node.received("first")).await;
    (link, relay, running)
}

/// Guards against updates that are lost with a connection which has gone silent, although the peer can
/// be reached: nothing else was sent that would have shown it.
#[tokio::test]
async fn an_update_is_sent_again_after_its_connection_went_silent() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (link, relay, _running) = link_with_update(&node).await;
    relay.mute_open_connections();
    link.send_update(update("second"));
    until("second update applied", || node.received("second")).await;
}

/// Guards against the stage of a release that is lost with a connection which has gone silent: each new
/// connection begins with the stages.
#[tokio::test]
async fn a_connection_that_went_silent_is_replaced_after_a_stage_was_sent() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (link, relay, _running) = link_with_update(&node).await;
    relay.mute_open_connections();
    let hellos = node.hellos();
    link.send_canary(canary::Message::Notices(Vec::new()));
    until("the connection is replaced", || node.hellos() > hellos).await;
}

/// Guards against shares of quotas that are sent to nobody: nothing else shows that the connection has
/// gone silent.
#[tokio::test]
async fn a_connection_that_went_silent_is_replaced_after_messages_about_quotas() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (link, relay, _running) = link_with_update(&node).await;
    relay.mute_open_connections();
    let hellos = node.hellos();
    until("the connection is replaced", || {
        link.send_quota(quota::Message::Totals(quota::Digest::default()));
        node.hellos() > hellos
    })
    .await;
}

#[tokio::test]
async fn an_update_is_confirmed_once_it_is_applied() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, running) = serve(&node).await;
    let link = Link::new(address, caller());
    assert!(link.send_confirmed(update("first")).await);
    assert!(node.received("first"));
    drop((link, running));
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    assert!(
        !Link::new(address, caller())
            .send_confirmed(update("second"))
            .await
    );
}

#[tokio::test]
async fn a_restarted_node_reports_requests_to_its_old_process_as_lost() {
    let restarted = Node::new("n", 2, Duration::ZERO);
    let (restarted_address, _running) = serve(&restarted).await;
    let (reply, _) = offer_on_disrupted_link(false, async |relay| {
        *relay.upstream.lock().unwrap() = Some(restarted_address);
        relay.mute_open_connections();
    })
    .await;
    assert_eq!(verdict(&reply), LOST);
    assert_eq!(restarted.started(), 0);
}

#[tokio::test]
async fn a_request_that_never_arrived_is_refused_as_not_run() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    assert_eq!(verdict(&link.offer(offer(false)).reply().await), None);
    relay.mute_open_connections();
    let reply = link.offer(offer(false)).reply().await;
    let not_run = Some((Reason::ConnectionLost, Verdict::NotRun));
    assert_eq!(verdict(&reply), not_run);
    assert_eq!(node.started(), 1);
}

#[tokio::test]
async fn an_offer_that_arrives_after_its_inquiry_is_refused() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, mut receiver) = session::start(stream).unwrap();
    let offer = offer(false);
    sender.send(Frame::Hello(Box::new(caller().hello())));
    sender.send(Frame::Inquire(offer.id, node.incarnation));
    sender.send(Frame::Offer(Box::new(offer)));
    let mut refusals = 0;
    while refusals < 2 {
        if let Frame::Reply(_, _, reply) = receiver.next().await.unwrap() {
            let not_run = Some((Reason::ConnectionLost, Verdict::NotRun));
            assert_eq!(verdict(&reply), not_run);
            refusals += 1;
        }
    }
    assert_eq!(node.started(), 0);
}

/// The sending and the receiving end of a connection.
async fn connection() -> (session::Sender, session::Receiver) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, _) = session::start(connected.unwrap()).unwrap();
    let (_, receiver) = session::start(accepted.unwrap().0).unwrap();
    (sender, receiver)
}

fn start(jobs: &Jobs, offer_id: OfferId, sender: &session::Sender) -> Arrival {
    jobs.start(offer_id, sender.clone(), 0, Duration::from_secs(5))
}

/// Guards against "not run" for a request that ran: an offer that exceeds the number of remembered
/// ones was taken for one that had not arrived.
#[tokio::test]
async fn an_inquiry_about_an_offer_evicted_early_says_may_have_run() {
    let (sender, mut receiver) = connection().await;
    let (unread, _receiver) = connection().await;
    let jobs = Jobs::default();
    let answer = Reply::Refused(Refusal::not_run(Reason::Overloaded));
    for offer_id in 0..70_000 {
        assert_eq!(start(&jobs, offer_id, &unread), Arrival::Run);
        jobs.finish(offer_id, Status::default(), answer.clone());
    }
    for _ in 0..2 {
        jobs.inquire(0, Status::default(), sender.clone(), true);
        let Frame::Reply(0, _, reply) = receiver.next().await.unwrap() else {
            panic!("no reply to the inquiry");
        };
        assert_eq!(verdict(&reply), LOST);
    }
}

/// Guards against "not run" for a request that runs: a second copy of its offer was refused so.
#[tokio::test]
async fn a_repeated_offer_is_not_refused() {
    let node = Node::new("n", 1, Duration::from_millis(100));
    let (address, _running) = serve(&node).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, mut receiver) = session::start(stream).unwrap();
    let offer = offer(false);
    sender.send(Frame::Hello(Box::new(caller().hello())));
    for _ in 0..2 {
        sender.send(Frame::Offer(Box::new(offer.clone())));
    }
    let reply = loop {
        if let Frame::Reply(_, _, reply) = receiver.next().await.unwrap() {
            break reply;
        }
    };
    assert_eq!((verdict(&reply), node.started()), (None, 1));
}

#[tokio::test]
async fn an_inquiry_about_a_discarded_reply_says_may_have_run() {
    let (sender, mut receiver) = connection().await;
    let jobs = Jobs::default();
    // Three answers of 3 MiB exceed the limit on retained replies, so the first is discarded.
    for offer_id in 0..3 {
        assert_eq!(start(&jobs, offer_id, &sender), Arrival::Run);
        let mut answer = Response::text(StatusCode::OK, "");
        answer.body = vec![0; 3 * 1024 * 1024].into();
        jobs.finish(offer_id, Status::default(), Reply::Answer((&answer).into()));
    }
    jobs.inquire(0, Status::default(), sender, true);
    // The three answers, then the reply to the inquiry.
    let mut replies = Vec::new();
    while replies.len() < 4 {
        if let Frame::Reply(offer_id, _, reply) = receiver.next().await.unwrap() {
            replies.push((offer_id, verdict(&reply)));
        }
    }
    assert_eq!(replies, [(0, None), (1, None), (2, None), (0, LOST)]);
}

#[tokio::test]
async fn both_sides_receive_the_entry_of_the_other() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let own = caller();
    let link = Link::new(address, own.clone());
    link.ping();
    until("hello received by the link", || {
        !own.received_entries.lock().unwrap().is_empty()
    })
    .await;
    assert_eq!(*own.received_entries.lock().unwrap(), ["n"]);
    until("hello received by the node", || {
        *node.received_entries.lock().unwrap() == ["caller"]
    })
    .await;
}

#[tokio::test]
async fn a_link_reconnects_to_an_unreachable_node_without_a_request() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    relay.dropping.store(true, Ordering::Relaxed);
    let link = Link::new(address, caller());
    let refused = link.offer(offer(false)).reply().await;
    assert_eq!(verdict(&refused), UNREACHABLE);
    for _ in 0..20 {
        assert!(link.is_unreachable());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    relay.dropping.store(false, Ordering::Relaxed);
    until("reachable", || !link.is_unreachable()).await;
    assert_eq!(verdict(&link.offer(offer(false)).reply().await), None);
}

/// Guards against requests that wait for their deadline although they were never sent, because the
/// peer reads too slowly.
#[tokio::test]
async fn an_offer_that_exceeds_the_write_queue_is_refused_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = Node::new("n", 1, Duration::ZERO);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (sender, mut receiver) = session::start(stream).unwrap();
        sender.send(Frame::Hello(Box::new(peer.hello())));
        receiver.next().await.unwrap();
        // Reads nothing more.
        std::future::pending::<()>().await;
    });
    let link = Link::new(address, caller());
    let mut request = testing::request(hyper::Method::GET, "/a", "1");
    request.body = vec![0; 4096].into();
    let large = Offer {
        message: (&request).into(),
        ..offer(false)
    };
    // Without a refusal, the offer has no reply when its deadline passes.
    let offers = (0..8_000).map(|id| Offer {
        id,
        ..large.clone()
    });
    let mut handles: Vec<_> = offers.map(|offer| link.offer(offer)).collect();
    let last = handles.last_mut().unwrap();
    let reply = tokio::time::timeout(large.time_left, last.reply()).await;
    assert_eq!(verdict(&reply.unwrap()), UNREACHABLE);
}

/// Guards against answers that are lost because their node has raised its incarnation.
#[tokio::test]
async fn an_inquiry_under_an_earlier_incarnation_gets_the_answer_of_a_known_offer() {
    let node = Node::new("n", 2, Duration::from_millis(100));
    let (address, _running) = serve(&node).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, mut receiver) = session::start(stream).unwrap();
    let offer = offer(false);
    sender.send(Frame::Hello(Box::new(caller().hello())));
    sender.send(Frame::Offer(Box::new(offer.clone())));
    sender.send(Frame::Inquire(offer.id, 1));
    let reply = loop {
        if let Frame::Reply(_, _, reply) = receiver.next().await.unwrap() {
            break reply;
        }
    };
    assert_eq!((verdict(&reply), node.started()), (None, 1));
}

/// Guards against a peer that passes on a status code that no response may have.
#[test]
fn a_response_with_an_invalid_status_is_rejected() {
    for status in [100, 101, 199, 600, 700, 999] {
        let mut response = Response::text(StatusCode::OK, "text");
        response.status = StatusCode::from_u16(status).unwrap();
        let message = Message::from(&response);
        assert!(Response::try_from(message).is_err(), "{status}");
    }
    for status in [200, 404, 503, 599] {
        let mut response = Response::text(StatusCode::OK, "text");
        response.status = StatusCode::from_u16(status).unwrap();
        assert!(
            Response::try_from(Message::from(&response)).is_ok(),
            "{status}"
        );
    }
}
mod bodies;
