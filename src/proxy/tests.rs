//! Tests of the request path against targets and nodes that break the protocol or do not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use jsonrpsee_http_client::HttpClient;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::bundle::ClassKind;
use crate::http::{Pool, empty, read_whole};
use crate::node::Node;
use crate::proxy::headers::{self, Envelope};
use crate::proxy::requests::{Phase, Requests};
use crate::roster::{ApplyOutcome, Member, Offer, Presence, View};
use crate::settings::{Resources, TargetSettings};
use crate::standin::{Answer, Layout, Mesh, Target, TargetOptions, sample_bundle};
use crate::verdict::{Reason, Verdict};
use crate::wire::{ControlClient as _, Pull};

/// Largest body that nodes accept; more than the memory of a limited one.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// How a scripted server answers a request.
#[derive(Clone, Copy)]
enum Script {
    /// Sends these bytes, then closes the connection.
    Bytes(&'static str),
    /// Sends these bytes once a millisecond until the client closes the connection.
    Endless(&'static str, &'static AtomicBool),
    /// Never answers calls; answers inquiries with `Cancelled`, as if the request had not arrived.
    SilentNode,
}

/// Starts a server that follows a script on every connection, and returns its address.
async fn start_scripted_server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(follow_script(stream, script));
        }
    });
    address
}

async fn follow_script(mut stream: TcpStream, script: Script) {
    let mut buffer = vec![0; 4096];
    let Ok(read) = stream.read(&mut buffer).await else {
        return;
    };
    let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
    match script {
        _ if read == 0 => {}
        Script::Bytes(bytes) => {
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
        Script::Endless(bytes, closed) => {
            while stream.write_all(bytes.as_bytes()).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            closed.store(true, Ordering::Relaxed);
        }
        Script::SilentNode if request.contains("/.bluebellgap/request/") => {
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nCancelled";
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        Script::SilentNode => std::future::pending().await,
    }
}

/// Starts a mesh of one node whose target is at `target`, and waits until the target serves.
async fn start_one_node(target: SocketAddr) -> (Mesh, Node) {
    start_limited_node(target, Resources::default()).await
}

async fn start_limited_node(target: SocketAddr, resources: Resources) -> (Mesh, Node) {
    let mut layout = Layout::new(1, 1, 1);
    layout.target = None;
    let mut mesh = Mesh::start(&layout).unwrap();
    mesh.kill(0);
    let mut settings = mesh.settings[0].clone();
    settings.node = "front".into();
    settings.limits.body_bytes = MAX_BODY_BYTES;
    settings.resources = resources;
    settings.target = Some(TargetSettings {
        group: "depot".into(),
        address: target,
        slots: 4,
        connections: 4,
    });
    let node = Node::start(settings, mesh.platform.handle()).unwrap();
    let version = mesh.roll_out(&sample_bundle(1)).await.unwrap();
    let in_force = async {
        node.subscribe_version()
            .wait_for(|v| *v >= version)
            .await
            .map(|_| ())
    };
    tokio::time::timeout(STARTUP_TIMEOUT, in_force)
        .await
        .unwrap()
        .unwrap();
    let started = std::time::Instant::now();
    while node.serving_targets("depot") == 0 {
        assert!(started.elapsed() < STARTUP_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (mesh, node)
}

async fn call(target: Script, path: &str) -> Answer {
    let (_mesh, node) = start_one_node(start_scripted_server(target).await).await;
    let caller = crate::standin::Caller::new(node.addresses().caller);
    caller.post(path, "key", "body").await
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_never_reported_as_complete() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this";
    let answer = call(Script::Bytes(truncated), "/read").await;
    assert_eq!(answer.status, 0, "{answer:?}");
    let answer = call(Script::Bytes(truncated), "/book").await;
    assert_eq!(
        (answer.is_success(), answer.verdict),
        (false, Some(Verdict::MayHaveRun)),
        "{answer:?}"
    );
}

/// Lets a target answer with a status code that no response may have. The caller must not get it, and
/// must not hear that the request has not run.
async fn check_invalid_status(answer: &'static str) {
    for path in ["/read", "/book"] {
        let answer = call(Script::Bytes(answer), path).await;
        assert!((400..600).contains(&answer.status), "{answer:?}");
        assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
    }
}

macro_rules! invalid_status_tests {
    ($($name:ident: $status:literal,)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let head = concat!("HTTP/1.1 ", $status, " Odd\r\ncontent-length: 0\r\n",
                "x-bluebellgap-verdict: not-run\r\nx-bluebellgap-reason: overloaded\r\n\r\n");
            check_invalid_status(head).await;
        })*
    };
}

invalid_status_tests! {
    a_status_of_zeros_does_not_reach_the_caller: "000",
    a_status_of_two_digits_does_not_reach_the_caller: "42",
    a_status_below_100_does_not_reach_the_caller: "099",
    a_switch_of_protocols_does_not_reach_the_caller: "101",
    a_status_of_600_does_not_reach_the_caller: "600",
    a_status_of_999_does_not_reach_the_caller: "999",
    a_status_of_four_digits_does_not_reach_the_caller: "2000",
    a_status_with_letters_does_not_reach_the_caller: "2OO",
    a_status_with_a_sign_does_not_reach_the_caller: "+20",
}

/// Guards against a node that goes on reading interim answers after the deadline of the call.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_may_have_run() {
    static CLOSED: AtomicBool = AtomicBool::new(false);
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let answer = call(Script::Endless(interim, &CLOSED), "/book").await;
    assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
    crate::testing::until("connection closed", || CLOSED.load(Ordering::Relaxed)).await;
}

/// Guards against answers without end that keep a slot of their target, and a connection of the node,
/// until their callers leave.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_is_broken_off_at_the_deadline() {
    static CLOSED: AtomicBool = AtomicBool::new(false);
    let target = Script::Endless("HTTP/1.1 200 OK\r\n\r\n", &CLOSED);
    let (_mesh, node) = start_one_node(start_scripted_server(target).await).await;
    let mut stream = TcpStream::connect(node.addresses().caller).await.unwrap();
    let request = "POST /read HTTP/1.1\r\nhost: depot\r\nx-bluebellgap-deadline-ms: 500\r\n\
        content-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let answer = tokio::time::timeout(STARTUP_TIMEOUT, crate::testing::read_to_end(&mut stream));
    let answer = answer.await.expect("the answer ends");
    assert!(!answer.ends_with("\r\n0\r\n\r\n"), "complete");
    crate::testing::until("connection closed", || CLOSED.load(Ordering::Relaxed)).await;
}

/// Guards against requests that are refused everywhere because one target answered them with bytes that
/// are no answer, which was taken for a crash.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_answer_are_no_crash() {
    let target = start_scripted_server(Script::Bytes("\u{1}no answer\r\n\r\n")).await;
    let (_mesh, node) = start_one_node(target).await;
    let caller = crate::standin::Caller::new(node.addresses().caller);
    for _ in 0..5 {
        let answer = caller.post("/read", "key", "body").await;
        assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
        assert_eq!(answer.reason.as_deref(), Some("spoiled"), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against an answer that announces more bytes than an answer may have, and is read up to there.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_announces_too_many_bytes_is_discarded() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1152921504606846976\r\n\r\n";
    let answer = call(Script::Bytes(head), "/read").await;
    assert_eq!(answer.reason.as_deref(), Some("spoiled"), "{answer:?}");
}

/// Guards against interim answers without end that keep a connection of a caller until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_are_given_up() {
    static CLOSED: AtomicBool = AtomicBool::new(false);
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let answer = call(Script::Endless(interim, &CLOSED), "/read").await;
    assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
    assert_eq!(answer.reason.as_deref(), Some("spoiled"), "{answer:?}");
    crate::testing::until("connection closed", || CLOSED.load(Ordering::Relaxed)).await;
}

/// Guards against an answer that breaks off in its head and is taken for one without a body.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_in_its_head_may_have_run() {
    let truncated = "HTTP/1.1 200 OK\r\nx-a: 1\r\n";
    let answer = call(Script::Bytes(truncated), "/book").await;
    assert_eq!(
        (answer.is_success(), answer.verdict),
        (false, Some(Verdict::MayHaveRun)),
        "{answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_503_is_forwarded_without_its_verdict_headers() {
    let forged_headers = "HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\
                  x-bluebellgap-verdict: not-run\r\nx-bluebellgap-reason: overloaded\r\n\r\nbusy";
    let answer = call(Script::Bytes(forged_headers), "/read").await;
    assert_eq!((answer.status, answer.verdict), (503, None), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_before_the_answer_is_reported_as_may_have_run() {
    let answer = call(Script::Bytes(""), "/book").await;
    assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
    assert_eq!(answer.reason.as_deref(), Some("connection-lost"));
}

/// Waits until the roster of the front node, pulled with `client`, does not list the node of `mesh`
/// that [`start_one_node`] killed.
async fn wait_until_killed_node_left(mesh: &Mesh, client: &HttpClient) {
    let killed = &mesh.settings[0];
    let left = async {
        loop {
            let pull = Pull {
                revision: 0,
                positions: BTreeMap::default(),
            };
            let mut roster = View::default();
            for update in client.pull(pull).await.unwrap().updates {
                assert_eq!(roster.apply(&update), ApplyOutcome::Applied);
            }
            let lists = |name| roster.find(&killed.data_center, name).is_some();
            assert!(lists("front"), "the front node does not list itself");
            if !lists(&killed.node) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        tokio::time::timeout(STARTUP_TIMEOUT, left).await.is_ok(),
        "the killed node {} did not leave the roster of the front node within {STARTUP_TIMEOUT:?}",
        killed.node
    );
}

/// Makes 20 non-idempotent calls while one of two targets is behind a silent connection. All must
/// succeed and run once.
async fn check_calls_beside_a_silent_connection(wait_for_departure: bool) {
    let any = "127.0.0.1:0".parse().unwrap();
    // Slow enough that after one answer it is left out as slow beside the unmeasured silent target,
    // or all calls might avoid that one because of its slow start.
    let options = TargetOptions {
        service_time: Duration::from_millis(10),
        ..TargetOptions::default()
    };
    let target = Target::start(any, options).unwrap();
    let (mesh, node) = start_one_node(target.address()).await;
    let control = format!("http://{}", node.addresses().control);
    let client = HttpClient::builder().build(control).unwrap();
    if wait_for_departure {
        wait_until_killed_node_left(&mesh, &client).await;
    }
    let silent = Member {
        node: "silent".into(),
        incarnation: 1,
        revision: 0,
        region: "region-0".into(),
        data_center: "region-0-0".into(),
        mesh: start_scripted_server(Script::SilentNode).await,
        control: node.addresses().control,
        offer: Some(Offer {
            group: "depot".into(),
            slots: 4,
        }),
        presence: Presence::Serving,
    };
    assert!(client.announce(silent).await.unwrap().accepted);
    while node.serving_targets("depot") < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let caller = crate::standin::Caller::new(node.addresses().caller);
    for number in 0..20 {
        let answer = caller.post("/book", &format!("key-{number}"), "unit").await;
        assert!(answer.is_success(), "{answer:?}");
    }
    assert!(
        node.counter("silent_connections") > 0,
        "no call was sent on the silent connection"
    );
    assert!(target.runs_by_key().values().all(|runs| *runs == 1));
}

/// Guards against calls that fail or run twice because of a silent member, also while the roster
/// still lists a killed node beside it.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_on_a_silent_connection_runs_once_at_another_target() {
    check_calls_beside_a_silent_connection(false).await;
}

/// Guards against calls that fail or run twice because of a silent member that is the only failed
/// one: the killed node is out of the roster before it joins.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_call_on_a_silent_connection_runs_once_after_a_killed_node_left() {
    check_calls_beside_a_silent_connection(true).await;
}

#[test]
fn request_inquired_about_before_it_arrives_is_refused_on_arrival() {
    let requests = Requests::default();
    assert_eq!(requests.inquire_or_cancel(7), Phase::Cancelled);
    assert!(requests.begin(7).is_none());
    let guard = requests.begin(8).unwrap();
    assert_eq!(requests.inquire_or_cancel(8), Phase::Running);
    drop(guard);
    assert_eq!(requests.inquire_or_cancel(8), Phase::Done);
    assert!(
        requests.begin(8).is_none(),
        "the same attempt was accepted twice"
    );
}

/// Guards against "not run" for a request that ran: a phase that was dropped because too many are
/// kept was taken for one of a request that had not arrived.
#[test]
fn a_request_whose_phase_was_dropped_early_counts_as_ended() {
    let requests = Requests::default();
    // All ids are in one of 16 stripes.
    for number in 0..17_000 {
        drop(requests.begin(number * 16).unwrap());
    }
    for _ in 0..2 {
        assert_eq!(requests.inquire_or_cancel(0), Phase::Done);
    }
}

/// Guards against "not run" for a request that an earlier process of the node ran.
#[tokio::test(flavor = "multi_thread")]
async fn an_inquiry_about_a_request_to_an_earlier_process_says_that_it_ended() {
    let any = "127.0.0.1:0".parse().unwrap();
    let target = Target::start(any, TargetOptions::default()).unwrap();
    let (_mesh, node) = start_one_node(target.address()).await;
    let mesh = node.addresses().mesh;
    let inquire = async |incarnation: &str| {
        let mut stream = TcpStream::connect(mesh).await.unwrap();
        let text = format!(
            "POST /.bluebellgap/request/7?incarnation={incarnation} HTTP/1.1\r\nhost: peer\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        crate::testing::read_to_end(&mut stream).await
    };
    let answer = inquire("1").await;
    assert!(answer.ends_with("Done"), "{answer}");
    // A restart that the caller's node has not noticed yet must not hide a request that this process
    // knows, here as cancelled.
    let mut stream = TcpStream::connect(mesh).await.unwrap();
    let text = "POST /.bluebellgap/request/7 HTTP/1.1\r\nhost: peer\r\n\
        connection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    crate::testing::read_to_end(&mut stream).await;
    let answer = inquire("1").await;
    assert!(answer.ends_with("Cancelled"), "{answer}");
}

/// Guards against calls that fail with time left: a request that arrived after an inquiry about it was
/// refused with a reason for which it is not sent to another target.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_after_its_inquiry_may_be_sent_to_another_target() {
    let any = "127.0.0.1:0".parse().unwrap();
    let target = Target::start(any, TargetOptions::default()).unwrap();
    let (_mesh, node) = start_one_node(target.address()).await;
    let pool = Pool::new(node.addresses().mesh);
    let send = async |path: &str, envelope: Option<Envelope>| {
        let mut request = hyper::Request::post(path).body(empty()).unwrap();
        request
            .headers_mut()
            .insert("host", "peer".parse().unwrap());
        if let Some(envelope) = envelope {
            envelope.write(request.headers_mut());
        }
        let (head, body) = pool.send(request).await.unwrap().into_parts();
        read_whole(body, 1024).await.unwrap();
        headers::read_refusal(head.status, &head.headers)
    };
    assert!(send("/.bluebellgap/request/7", None).await.is_none());
    let envelope = Envelope {
        request: 7,
        version: 1,
        group: "depot".into(),
        kind: ClassKind::Short,
        tenant: "default".into(),
        weight: 1,
        reserved_short_percent: 0,
        remaining: Duration::from_secs(2),
        fingerprint: 1,
        suspect: false,
    };
    let refusal = send("/book", Some(envelope)).await.unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::ConnectionLost, Verdict::NotRun)
    );
    assert_eq!(target.served(), 0);
}
