//! Links over loopback, with a relay that fails.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use hyper::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::h1::Response;
use crate::link::frame::Frame;
use crate::link::jobs::Jobs;
use crate::link::session;
use crate::link::{
    Entry, Hello, Link, Offer, Packed, Reply, Service, Status, Update, Wanted, listen,
};
use crate::roster::Presence;
use crate::testing::{self, until};
use crate::verdict::{Reason, Refusal, Verdict};

/// A node whose target takes `delay` for each request.
struct Node {
    name: &'static str,
    incarnation: u64,
    delay: Duration,
    begun: AtomicU32,
    ended: AtomicU32,
    learned: Mutex<Vec<String>>,
}

impl Node {
    fn new(name: &'static str, incarnation: u64, delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            name,
            incarnation,
            delay,
            begun: AtomicU32::new(0),
            ended: AtomicU32::new(0),
            learned: Mutex::default(),
        })
    }

    fn begun(&self) -> u32 {
        self.begun.load(Ordering::Relaxed)
    }

    fn ended(&self) -> u32 {
        self.ended.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl Service for Node {
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
        self.begun.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.delay).await;
        self.ended.fetch_add(1, Ordering::Relaxed);
        Ok(Response::text(StatusCode::OK, "done"))
    }

    fn observe(&self, _: &str, _: Status) -> Wanted {
        Wanted::default()
    }

    fn learn(&self, update: Update) {
        let names = update.entries.into_iter().map(|entry| entry.node);
        self.learned.lock().unwrap().extend(names);
    }

    fn roster(&self) -> Update {
        Update::default()
    }

    fn version_above(&self, _: u64) -> Option<Packed> {
        None
    }

    fn learn_version(&self, _: &Packed) {}
}

/// Passes bytes on between a link and a node, and fails on demand.
#[derive(Default)]
struct Relay {
    /// New and open connections carry nothing any more, but stay open.
    silent: AtomicBool,
    /// Connections that were open when this counts up are silent for good.
    muted: AtomicU32,
    to: Mutex<Option<SocketAddr>>,
}

impl Relay {
    async fn start(to: SocketAddr) -> (Arc<Self>, SocketAddr) {
        let relay = Arc::new(Self::default());
        *relay.to.lock().unwrap() = Some(to);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let relaying = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relaying.clone().carry(stream));
            }
        });
        (relay, address)
    }

    async fn carry(self: Arc<Self>, stream: TcpStream) {
        let to = self.to.lock().unwrap().unwrap();
        let Ok(other) = TcpStream::connect(to).await else {
            return;
        };
        let born = self.muted.load(Ordering::Relaxed);
        let (from_link, to_link) = stream.into_split();
        let (from_node, to_node) = other.into_split();
        let mut ways = JoinSet::new();
        ways.spawn(self.clone().one_way(from_link, to_node, born));
        ways.spawn(self.clone().one_way(from_node, to_link, born));
        ways.join_next().await;
    }

    async fn one_way(
        self: Arc<Self>,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        born: u32,
    ) {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let muted = self.muted.load(Ordering::Relaxed) != born;
            if muted || self.silent.load(Ordering::Relaxed) {
                continue;
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }

    fn mute_open_connections(&self) {
        self.muted.fetch_add(1, Ordering::Relaxed);
    }
}

async fn serve(node: &Arc<Node>) -> (SocketAddr, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (running, stopped) = watch::channel(());
    tokio::spawn(listen(listener, node.clone(), stopped));
    (address, running)
}

fn offer(idempotent: bool) -> Offer {
    testing::offer(idempotent, Duration::from_secs(5))
}

fn caller() -> Arc<Node> {
    Node::new("caller", 1, Duration::ZERO)
}

fn verdict(reply: &Reply) -> Option<(Reason, Verdict)> {
    match reply {
        Reply::Answer(_) => None,
        Reply::Refused(refusal) => Some((refusal.reason, refusal.verdict)),
    }
}

const LOST: Option<(Reason, Verdict)> = Some((Reason::ConnectionLost, Verdict::MayHaveRun));
const UNREACHABLE: Option<(Reason, Verdict)> = Some((Reason::Unreachable, Verdict::NotRun));

#[tokio::test]
async fn requests_run_side_by_side_on_one_connection() {
    let node = Node::new("n", 1, Duration::from_millis(100));
    let (address, _running) = serve(&node).await;
    let link = Link::new(address, caller());
    let began = std::time::Instant::now();
    let mut sent: Vec<_> = (0..20).map(|_| link.offer(offer(false))).collect();
    for sent in &mut sent {
        assert_eq!(verdict(&sent.reply().await), None);
    }
    assert!(began.elapsed() < Duration::from_secs(1));
    assert_eq!(node.ended(), 20);
}

#[tokio::test]
async fn a_dropped_offer_is_cancelled() {
    let node = Node::new("n", 1, Duration::from_secs(5));
    let (address, _running) = serve(&node).await;
    let link = Link::new(address, caller());
    let sent = link.offer(offer(true));
    until("begun", || node.begun() == 1).await;
    drop(sent);
    // A cancelled request frees its node at once; the next one shows that the link still serves.
    let _next = link.offer(offer(true));
    until("second", || node.begun() == 2).await;
    assert_eq!(node.ended(), 0);
}

#[tokio::test]
async fn nothing_was_sent_to_a_node_that_cannot_be_reached() {
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

/// Offers a request through a relay, breaks the link while it runs, and returns the end.
async fn broken(idempotent: bool, breaking: impl AsyncFnOnce(&Relay)) -> (Reply, u32) {
    let node = Node::new("n", 1, Duration::from_millis(1_200));
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    let mut sent = link.offer(offer(idempotent));
    until("begun", || node.begun() == 1).await;
    breaking(&relay).await;
    let reply = tokio::time::timeout(Duration::from_secs(8), sent.reply()).await;
    (reply.unwrap(), node.begun())
}

#[tokio::test]
async fn an_answer_outlives_a_connection_that_has_gone_silent() {
    let (reply, begun) = broken(false, async |relay| relay.mute_open_connections()).await;
    assert_eq!((verdict(&reply), begun), (None, 1));
}

#[tokio::test]
async fn what_may_be_repeated_is_given_back_when_a_node_falls_silent() {
    let (reply, _) = broken(true, async |relay| {
        relay.silent.store(true, Ordering::Relaxed);
    })
    .await;
    assert_eq!(verdict(&reply), LOST);
}

#[tokio::test]
async fn what_must_not_be_repeated_waits_for_a_silent_node_to_come_back() {
    let (reply, begun) = broken(false, async |relay| {
        relay.silent.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        relay.silent.store(false, Ordering::Relaxed);
    })
    .await;
    assert_eq!((verdict(&reply), begun), (None, 1));
}

#[tokio::test]
async fn a_new_process_does_not_answer_for_the_old_one() {
    let after = Node::new("n", 2, Duration::ZERO);
    let (after_address, _running) = serve(&after).await;
    let (reply, _) = broken(false, async |relay| {
        *relay.to.lock().unwrap() = Some(after_address);
        relay.mute_open_connections();
    })
    .await;
    assert_eq!(verdict(&reply), LOST);
    assert_eq!(after.begun(), 0);
}

#[tokio::test]
async fn a_request_that_never_arrived_has_not_run_and_never_will() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    let link = Link::new(address, caller());
    assert_eq!(verdict(&link.offer(offer(false)).reply().await), None);
    relay.mute_open_connections();
    let reply = link.offer(offer(false)).reply().await;
    let not_run = Some((Reason::ConnectionLost, Verdict::NotRun));
    assert_eq!(verdict(&reply), not_run);
    assert_eq!(node.begun(), 1);
}

#[tokio::test]
async fn a_revoked_offer_is_refused_when_it_still_arrives() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, mut receiver) = session::start(stream).unwrap();
    let late = offer(false);
    sender.send(Frame::Hello(Box::new(caller().hello())));
    sender.send(Frame::Inquire(late.ticket, node.incarnation));
    sender.send(Frame::Offer(Box::new(late)));
    let mut refusals = 0;
    while refusals < 2 {
        if let Frame::Reply(_, _, reply) = receiver.next().await.unwrap() {
            let not_run = Some((Reason::ConnectionLost, Verdict::NotRun));
            assert_eq!(verdict(&reply), not_run);
            refusals += 1;
        }
    }
    assert_eq!(node.begun(), 0);
}

#[tokio::test]
async fn an_answer_that_is_no_longer_kept_does_not_become_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, _near) = session::start(near.unwrap()).unwrap();
    let (_far, mut receiver) = session::start(far.unwrap().0).unwrap();
    let jobs = Jobs::default();
    for ticket in 0..3 {
        assert!(jobs.begin(ticket, sender.clone()));
        let mut answer = Response::text(StatusCode::OK, "");
        answer.body = vec![0; 3 * 1024 * 1024].into();
        jobs.end(ticket, Status::default(), Reply::Answer((&answer).into()));
    }
    jobs.inquire(0, Status::default(), sender);
    let mut last = None;
    while let Ok(Ok(Frame::Reply(_, _, reply))) =
        tokio::time::timeout(Duration::from_millis(500), receiver.next()).await
    {
        last = Some(reply);
    }
    assert_eq!(verdict(&last.unwrap()), LOST);
}

#[tokio::test]
async fn both_sides_learn_who_the_other_is() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let own = caller();
    let link = Link::new(address, own.clone());
    link.ping();
    until("greeted", || !own.learned.lock().unwrap().is_empty()).await;
    assert_eq!(*own.learned.lock().unwrap(), ["n"]);
    until("known", || *node.learned.lock().unwrap() == ["caller"]).await;
}

#[tokio::test]
async fn an_unreachable_node_is_tried_again_without_a_request() {
    let node = Node::new("n", 1, Duration::ZERO);
    let (address, _running) = serve(&node).await;
    let (relay, address) = Relay::start(address).await;
    relay.silent.store(true, Ordering::Relaxed);
    let link = Link::new(address, caller());
    let refused = link.offer(offer(false)).reply().await;
    assert_eq!(verdict(&refused), UNREACHABLE);
    for _ in 0..20 {
        assert!(link.is_unreachable());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    relay.silent.store(false, Ordering::Relaxed);
    until("reachable", || !link.is_unreachable()).await;
    assert_eq!(verdict(&link.offer(offer(false)).reply().await), None);
}
