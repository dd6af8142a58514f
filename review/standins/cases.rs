//! The cases.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Message};
use crate::instance::{Decision, Instance};
use crate::node::{Node, RESTART_DELAY, SIGTERM, wait_until_ready};
use crate::record::Record;
use crate::relay::Cut;
use crate::store::Store;

const HOST: &str = "mesh.example";
/// Time for all machines to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time from the start of the machines to the start of traffic, as on the sheets.
const LEAD: Duration = Duration::from_secs(8);
/// `DrainS` of the sheets.
const DRAIN_S: f64 = 2.5;
/// `ContactS` of the sheets.
const CONTACT_S: f64 = 4.0;
/// `ConfigApplyS` of the sheets.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);

pub fn run(case: &str, folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "late-copy" => late_copy(folder, record, trouble),
        "added-route" => added_route(folder, record, trouble),
        "left-instance" => left_instance(folder, record, trouble),
        "lost-reply" => lost_reply(folder, record, trouble),
        "large-body" => large_body(folder, record, trouble),
        _ => Verdict::CouldNotRun,
    }
}

/// A route of the configuration.
struct Route {
    name: &'static str,
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_s: u32,
}

/// The operator's configuration, with the limits that the pages show.
fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"KindOf\":\"Routes\",\"Metadata\":{{\"Name\":\"{}\"}},\"Spec\":{{\"Host\":\"{HOST}\",\
                 \"Prefix\":\"{}\",\"Type\":\"{}\",\"TimeoutS\":{},\"GoalS\":1,\"Priority\":1,\
                 \"Service\":\"{}\",\"Attempts\":2}}}}",
                route.name, route.prefix, route.kind, route.timeout_s, route.service
            )
        })
        .collect();
    resources.extend(services.iter().map(|service| {
        format!(
            "{{\"KindOf\":\"Services\",\"Metadata\":{{\"Name\":\"{service}\"}},\"Spec\":\
             {{\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}}}"
        )
    }));
    resources.push(
        "{\"KindOf\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}"
            .to_owned(),
    );
    format!(
        "{{\"Version\":{version},\"Resources\":[{}]}}",
        resources.join(",")
    )
}

/// Sends one client attempt on a new connection, as `fresh` clients do; returns its id and the
/// answer.
fn ask(
    record: &Record,
    node: SocketAddr,
    line: &str,
    deadline: Duration,
    body: &[u8],
) -> (String, Option<Message>) {
    static LAST_ID: AtomicU64 = AtomicU64::new(0);
    let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1);
    let deadline_ms = deadline.as_millis().to_string();
    let headers = [
        ("host", HOST),
        ("bluebellgap-request-id", id.as_str()),
        ("bluebellgap-deadline-ms", deadline_ms.as_str()),
    ];
    record.line(&format!("SENT {id} {line}, {} bytes", body.len()));
    let limit = deadline + Duration::from_secs(1);
    let answer = http::call(node, line, &headers, body, limit);
    match &answer {
        Ok(answer) => {
            let retry_after = answer.header("retry-after").unwrap_or("-");
            let status = answer.status();
            record.line(&format!(
                "ANSWERED {id} {status}, retry-after {retry_after}"
            ));
        }
        Err(error) => record.line(&format!("NO ANSWER {id}: {error}")),
    }
    (id, answer.ok())
}

/// Waits until all machines are ready and have learned of the instances.
fn settle(record: &Record, nodes: &[&Node], started: Instant) -> bool {
    if !wait_until_ready(nodes, START_LIMIT) {
        record.line("not all machines became ready");
        return false;
    }
    thread::sleep(LEAD.saturating_sub(started.elapsed()));
    record.line("traffic starts");
    true
}

fn always_run(work_ms: u64) -> impl Fn(&Message) -> Decision + Send + Sync + 'static {
    move |_| Decision::Run(Duration::from_millis(work_ms))
}

/// TWICE: the machine that took a request is cut off for longer than the reply is retained.
fn lost_reply(folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    const CUT: Duration = Duration::from_millis(11_500);
    const DEADLINE: Duration = Duration::from_secs(15);
    let started = Instant::now();
    let store = Store::start();
    let services = ["booking", "availability"];
    let route = Route {
        name: "hire-book",
        prefix: "/hire/",
        kind: "unsafe",
        service: "booking",
        timeout_s: 15,
    };
    store.put_config(&config(1, &[route], &services));
    let cut = Arc::new(Cut::default());
    let start = |name: &str, zone: &str, service: &str| {
        Node::start_behind_relay(name, zone, service, store.address, folder, &cut)
    };
    let caller = start("sidecar-bkk-a-1", "bkk-a", "availability");
    let other_caller = start("sidecar-bkk-a-2", "bkk-a", "availability");
    let near = start("sidecar-bkk-b-1", "bkk-b", "booking");
    let far = start("sidecar-hkt-a-1", "hkt-a", "booking");
    let start = |id: &str, service: &str, node: &Node| {
        Instance::start(id, service, node.app, node.control, record, always_run(300))
    };
    let _instances = [
        start("i-a1", "availability", &caller),
        start("i-a2", "availability", &other_caller),
        start("i-b1", "booking", &near),
        start("i-b2", "booking", &far),
    ];
    if !settle(record, &[&caller, &other_caller, &near, &far], started) {
        return Verdict::CouldNotRun;
    }
    // Others go on using the instance's machine meanwhile.
    let stop = Arc::new(AtomicBool::new(false));
    let others = {
        let (record, stop, node) = (record.clone(), stop.clone(), other_caller.outbound);
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                ask(&record, node, "POST /hire/2", Duration::from_secs(4), b"{}");
                thread::sleep(Duration::from_millis(200));
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    let request = {
        let (record, node) = (record.clone(), caller.outbound);
        thread::spawn(move || ask(&record, node, "POST /hire/1", DEADLINE, b"{}"))
    };
    let sent = Instant::now();
    while !record.runs().iter().any(|run| run.path == "/hire/1") {
        if sent.elapsed() > Duration::from_secs(2) {
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    if trouble {
        cut.begin(&caller.name);
        record.line("CUT: sidecar-bkk-a-1 is partitioned from all other machines");
    }
    thread::sleep(CUT);
    cut.end();
    record.line("the cut ends");
    let (id, answer) = request.join().expect("no panic in the client");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ = others.join();
    let runs = record.runs();
    let at: Vec<&str> = runs
        .iter()
        .filter(|run| run.request_id == id)
        .map(|run| run.instance.as_str())
        .collect();
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!(
        "TWICE: request {id} ran {} times, at {at:?}; answered {status}",
        at.len()
    ));
    if at.len() > 1 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// REFUSED: an instance sheds requests, and a second copy of a few of these answers comes late.
fn late_copy(folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    const REQUESTS: u64 = 130;
    /// Each such request is shed when it arrives first: 10 % of them.
    const SHED_EVERY: u64 = 10;
    /// Each such request's shedding answer is followed by a second copy: 4 of 143 answers.
    const COPIED_EVERY: u64 = 30;
    const COPY_DELAY: Duration = Duration::from_millis(150);
    let started = Instant::now();
    let store = Store::start();
    let services = ["booking", "availability"];
    let route = Route {
        name: "hire-book",
        prefix: "/hire/",
        kind: "unsafe",
        service: "booking",
        timeout_s: 2,
    };
    store.put_config(&config(1, &[route], &services));
    let zones = ["bkk-a", "cnx-a", "hkt-a", "bkk-b", "cnx-b", "hkt-b"];
    let mut nodes = vec![Node::start(
        "booking-1",
        zones[0],
        "booking",
        store.address,
        folder,
    )];
    for (index, zone) in zones.iter().cycle().take(7).enumerate() {
        let name = format!("availability-{}", index + 1);
        nodes.push(Node::start(
            &name,
            zone,
            "availability",
            store.address,
            folder,
        ));
    }
    // Sheds the first arrival of some requests; the number is in the path.
    let arrivals = std::sync::Mutex::new(HashMap::<u64, u32>::new());
    let policy = move |request: &Message| {
        let number = request.word(1).rsplit('/').next();
        let number: u64 = number.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut arrivals = arrivals.lock().expect("no panic under the lock");
        let arrived = arrivals.entry(number).or_default();
        *arrived += 1;
        if *arrived > 1 || number % SHED_EVERY != 0 {
            return Decision::Run(Duration::from_millis(250));
        }
        let copied = trouble && number % COPIED_EVERY == 0;
        Decision::Shed {
            second_copy: copied.then_some(COPY_DELAY),
        }
    };
    let (app, control) = (nodes[0].app, nodes[0].control);
    let mut instances = vec![Instance::start(
        "i-b1", "booking", app, control, record, policy,
    )];
    for (index, node) in nodes.iter().enumerate().skip(1) {
        let id = format!("i-a{index}");
        let policy = always_run(190);
        let instance = Instance::start(&id, "availability", node.app, node.control, record, policy);
        instances.push(instance);
    }
    if !settle(record, &nodes.iter().collect::<Vec<_>>(), started) {
        return Verdict::CouldNotRun;
    }
    let mut refused = Vec::new();
    for number in 1..=REQUESTS {
        let line = format!("POST /hire/{number}");
        let deadline = Duration::from_secs(4);
        let (id, answer) = ask(record, nodes[1].outbound, &line, deadline, b"{}");
        if answer.is_some_and(|answer| [408, 421, 429, 503].contains(&answer.status())) {
            refused.push(id);
        }
    }
    thread::sleep(Duration::from_secs(1));
    let runs = record.runs();
    let times_run = |id: &String| runs.iter().filter(|run| run.request_id == *id).count();
    let broken: Vec<&String> = refused.iter().filter(|id| times_run(id) > 0).collect();
    record.line(&format!(
        "REFUSED: {} answers promised that the request has not run and never will; {} of these \
         requests ran: {broken:?}",
        refused.len(),
        broken.len()
    ));
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// ROUTE: a version adds a route below the prefix of another one.
fn added_route(folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let started = Instant::now();
    let store = Store::start();
    let services = ["booking", "availability"];
    let hire = || Route {
        name: "hire-book",
        prefix: "/hire/",
        kind: "unsafe",
        service: "booking",
        timeout_s: 2,
    };
    let added = Route {
        name: "unit-lookup",
        prefix: "/hire/units/",
        kind: "safe",
        service: "availability",
        timeout_s: 2,
    };
    store.put_config(&config(1, &[hire()], &services));
    let booking = Node::start("booking-1", "bkk-a", "booking", store.address, folder);
    let lookup = Node::start(
        "availability-1",
        "bkk-b",
        "availability",
        store.address,
        folder,
    );
    let _instances = [
        Instance::start(
            "i-b1",
            "booking",
            booking.app,
            booking.control,
            record,
            always_run(50),
        ),
        Instance::start(
            "i-a1",
            "availability",
            lookup.app,
            lookup.control,
            record,
            always_run(50),
        ),
    ];
    if !settle(record, &[&booking, &lookup], started) {
        return Verdict::CouldNotRun;
    }
    let ask_all = |count: u32| {
        for _ in 0..count {
            for node in [&booking, &lookup] {
                for path in ["/hire/units", "/hire/42"] {
                    let line = format!("POST {path}");
                    ask(record, node.outbound, &line, Duration::from_secs(4), b"{}");
                }
            }
        }
    };
    ask_all(5);
    if trouble {
        store.put_config(&config(4, &[hire(), added], &services));
        record.line("CONFIG 4 acknowledged: adds /hire/units/ to availability");
    }
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    ask_all(10);
    let runs = record.runs();
    // No prefix but "/hire/" begins one of these paths, in either version.
    let wrong: Vec<_> = runs.iter().filter(|run| run.service != "booking").collect();
    let paths: Vec<&str> = wrong.iter().map(|run| run.path.as_str()).collect();
    record.line(&format!(
        "ROUTE: {} requests ran, {} of them at a service to which no version allows them to go: {paths:?}",
        runs.len(),
        wrong.len()
    ));
    if runs.is_empty() {
        Verdict::CouldNotRun
    } else if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// DRAIN: an instance leaves while its node is restarted, and one of its heartbeats arrives late.
fn left_instance(folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    /// Time after which the heartbeat that was sent just before the departure arrives.
    const LATENESS: Duration = Duration::from_millis(2500);
    /// Time after the SIGTERM at which the instance leaves.
    const LEAVES_AFTER: Duration = Duration::from_millis(1500);
    /// Time for which the instance goes on serving after its departure.
    const SERVES: Duration = Duration::from_secs(12);
    let started = Instant::now();
    let store = Store::start();
    let services = ["booking", "availability"];
    let route = Route {
        name: "hire-status",
        prefix: "/hire/",
        kind: "safe",
        service: "booking",
        timeout_s: 2,
    };
    store.put_config(&config(1, &[route], &services));
    let caller = Node::start(
        "sidecar-bkk-a-2",
        "bkk-a",
        "availability",
        store.address,
        folder,
    );
    let mut leaving = Node::start("sidecar-bkk-a-1", "bkk-a", "booking", store.address, folder);
    let staying = Node::start("sidecar-bkk-a-3", "bkk-a", "booking", store.address, folder);
    let start = |id: &str, service: &str, node: &Node| {
        Instance::start(id, service, node.app, node.control, record, always_run(100))
    };
    let _others = [
        start("i-a1", "availability", &caller),
        start("i-b2", "booking", &staying),
    ];
    let left = start("i-b1", "booking", &leaving);
    if !settle(record, &[&caller, &leaving, &staying], started) {
        return Verdict::CouldNotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, stop, node) = (record.clone(), stop.clone(), caller.outbound);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    ask(&record, node, "GET /hire/7", Duration::from_secs(3), b"");
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let terminated = Instant::now();
    if trouble {
        record.line("SIGTERM to sidecar-bkk-a-1 (planned restart)");
        leaving.signal(SIGTERM);
    }
    thread::sleep(LEAVES_AFTER);
    // The last heartbeat before the departure is sent now and held up on its way.
    let late_sequence = left.next_sequence();
    let held_up_since = Instant::now();
    let status = left.send_departure();
    let left_at = Instant::now();
    let left_at_s = record.now_s();
    record.line(&format!("DELETE /instances/i-b1 answered {status}"));
    if status != 200 {
        return Verdict::CouldNotRun;
    }
    if trouble {
        leaving.finish_restart(terminated);
        record.line("sidecar-bkk-a-1 started again");
    }
    let restarted_at_s = record.now_s();
    thread::sleep(LATENESS.saturating_sub(held_up_since.elapsed()));
    while !leaving.is_ready() {
        thread::sleep(Duration::from_millis(20));
    }
    let status = left.send_beat(late_sequence);
    let lateness_s = held_up_since.elapsed().as_secs_f64();
    record.line(&format!(
        "the heartbeat with sequence {late_sequence} arrives {lateness_s:.1} s late, answered {status}"
    ));
    thread::sleep(SERVES.saturating_sub(left_at.elapsed()));
    left.end();
    record.line("i-b1 ends");
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // The rule binds later than DrainS after the acknowledgement, for machines in touch: those whose
    // processes ran for the whole ContactS before.
    let bound_from_s = (left_at_s + DRAIN_S).max(restarted_at_s + CONTACT_S);
    let runs = record.runs();
    let late = runs
        .iter()
        .filter(|run| run.instance == "i-b1" && run.at_s > bound_from_s);
    let late: Vec<String> = late
        .map(|run| format!("{:.1}", run.at_s - left_at_s))
        .collect();
    record.line(&format!(
        "DRAIN: {} requests reached i-b1 while all machines were in touch and later than DrainS after \
         its departure was acknowledged; the first after {} s",
        late.len(),
        late.first().map_or("-", String::as_str)
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Fault: requests within the limits of the configuration, and a process that exceeds `MemoryMb` is
/// killed.
fn large_body(folder: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    /// `MemoryMb` of the machines.
    const MEMORY_BYTES: u64 = 110 * 1_000_000;
    /// Within `MaxBodyBytes`, which is 64 MiB.
    const LARGE_BODY_BYTES: usize = 40 * 1024 * 1024;
    /// Largest body of the sheets.
    const USUAL_BODY_BYTES: usize = 7_200;
    const ROUNDS: usize = 3;
    /// Ends of one machine's processes that break the rule, on two machines at least.
    const ENDS: usize = 3;
    let started = Instant::now();
    let store = Store::start();
    let services = ["carving-queue", "order-desk"];
    let route = Route {
        name: "cut-release",
        prefix: "/cut/",
        kind: "unsafe",
        service: "carving-queue",
        timeout_s: 2,
    };
    store.put_config(&config(1, &[route], &services));
    let start =
        |name: &str, service: &str| Node::start(name, "oranmore", service, store.address, folder);
    let queue = start("queue-1", "carving-queue");
    let mut callers = [start("desk-1", "order-desk"), start("desk-2", "order-desk")];
    let mut instances = vec![Instance::start(
        "i-q1",
        "carving-queue",
        queue.app,
        queue.control,
        record,
        always_run(180),
    )];
    for (index, node) in callers.iter().enumerate() {
        let id = format!("i-d{}", index + 1);
        let policy = always_run(140);
        let instance = Instance::start(&id, "order-desk", node.app, node.control, record, policy);
        instances.push(instance);
    }
    if !settle(record, &[&queue, &callers[0], &callers[1]], started) {
        return Verdict::CouldNotRun;
    }
    let bytes = if trouble {
        LARGE_BODY_BYTES
    } else {
        USUAL_BODY_BYTES
    };
    let mut ends = [0; 2];
    for _ in 0..ROUNDS {
        for (ends, node) in ends.iter_mut().zip(callers.iter_mut()) {
            let client = {
                let (record, outbound) = (record.clone(), node.outbound);
                let deadline = Duration::from_secs(3);
                thread::spawn(move || {
                    ask(
                        &record,
                        outbound,
                        "POST /cut/1",
                        deadline,
                        &vec![b'x'; bytes],
                    )
                })
            };
            let mut peak = 0;
            let mut killed = false;
            while !client.is_finished() {
                let memory = node.memory_bytes();
                peak = peak.max(memory);
                if memory > MEMORY_BYTES && !killed {
                    killed = true;
                    node.kill();
                    *ends += 1;
                }
                thread::sleep(Duration::from_millis(1));
            }
            let megabytes = peak / 1_000_000;
            record.line(&format!(
                "{}: {megabytes} MB at most, killed: {killed}",
                node.name
            ));
            if killed {
                thread::sleep(RESTART_DELAY);
                node.spawn();
                if !wait_until_ready(&[&*node], START_LIMIT) {
                    return Verdict::CouldNotRun;
                }
            }
        }
        thread::sleep(Duration::from_secs(3));
    }
    record.line(&format!(
        "Fault: ends of processes over their memory, by machine: {ends:?}"
    ));
    if ends.iter().filter(|count| **count >= ENDS).count() >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
