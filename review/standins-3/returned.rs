//! DRAIN: an instance that has left is in use again after its node was started again.
//!
//! A machine is added while the store turns it away. Its instance leaves, which the node acknowledges.
//! The node's process is killed and started again; the store serves it from then on. A heartbeat that the
//! instance sent before it left arrives late.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{exchange, plain};
use crate::instance::{Instance, Runs};
use crate::node::{Machine, Node, free_port};
use crate::store::Store;

const HOST: &str = "jepu9.example";
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 3] = ["bkk-a", "cnx-a", "hkt-a"];
const SLOTS: u32 = 12;
/// Time for which the store turns the added machine away. `platform_down` names up to 9 s.
const AWAY: Duration = Duration::from_millis(6_000);
/// Time from the start of the machine to the departure of its instance, to the kill and to the next start.
const LEAVES_AT: Duration = Duration::from_millis(2_000);
const KILLED_AT: Duration = Duration::from_millis(2_800);
const STARTED_AT: Duration = AWAY;
/// Time after the start at which the late heartbeat arrives.
const LATE: Duration = Duration::from_millis(300);
/// `DrainS` and `ContactS`.
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_secs(4);
/// Time after the acknowledgement for which the instance goes on serving.
const LINGERS: Duration = Duration::from_secs(12);

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"BaseVersion\":5,\"Resources\":[{{\"KindOf\":\"Routes\",\"Metadata\":{{\"Name\":\
         \"r-u6wsjnb\"}},\"Spec\":{{\"Host\":\"{HOST}\",\"Prefix\":\"/lepu270/\",\"Type\":\"safe\",\
         \"TimeoutS\":1.5,\"GoalS\":0.8,\"Priority\":2,\"Service\":\"{SERVICE}\",\"Attempts\":2}}}},\
         {{\"KindOf\":\"Services\",\"Metadata\":{{\"Name\":\"{SERVICE}\"}},\"Spec\":{{\"HealthPath\":\
         \"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}}},{{\"KindOf\":\"Limits\",\
         \"Metadata\":{{}},\"Spec\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}]}}"
    )
}

/// One request of a client.
struct Sent {
    id: String,
    at: Instant,
    status: String,
}

/// Asks for `/ready` once a second, and takes the clients of the machine out after two misses.
fn watch_readiness(port: u16, out: &AtomicBool, stopped: &AtomicBool) {
    let mut misses = 0;
    while !stopped.load(Ordering::Relaxed) {
        let answer = exchange(port, &plain("GET", "/ready", ""), Duration::from_secs(1));
        let ready = answer.is_some_and(|answer| answer.word(1) == "200");
        misses = if ready { 0 } else { misses + 1 };
        out.store(misses >= 2, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Sends requests to a machine, one after the other, until `stopped`.
fn send_requests(
    port: u16,
    name: &str,
    sent: &Mutex<Vec<Sent>>,
    out: &AtomicBool,
    stopped: &AtomicBool,
) {
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        if out.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        number += 1;
        let id = format!("{name}n{number}");
        let text = format!(
            "GET /lepu270/{id}-50 HTTP/1.1\r\nHost: {HOST}\r\nBluebellgap-Request-Id: {id}\r\n\
             Bluebellgap-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n"
        );
        let at = Instant::now();
        let answer = exchange(port, &text, Duration::from_secs(4));
        let status = answer.map_or("no answer".into(), |answer| answer.word(1).to_owned());
        sent.lock().unwrap().push(Sent { id, at, status });
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

pub fn play(scratch: &Path, trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::start();
    store.put("op", "config", &configuration());
    let runs = Runs::default();
    let mesh = free_port();
    let (mut machines, mut instances, mut flags) = (Vec::new(), Vec::new(), Vec::new());
    for (number, zone) in ZONES.iter().enumerate() {
        let instance = Instance::start(&format!("i-{number}"), SERVICE, SLOTS, &runs);
        let (port, away) = store.open();
        machines.push(Machine::new(number, zone, SERVICE, mesh, instance.port, port));
        instances.push(instance);
        flags.push(away);
    }
    let seeds: Vec<String> = machines[..2]
        .iter()
        .map(|machine| format!("{}:{}", machine.ip, machine.heartbeats))
        .collect();
    for machine in &mut machines {
        machine.seeds.clone_from(&seeds);
    }
    let began = Instant::now();
    let at = |moment: Instant| moment.saturating_duration_since(began).as_secs_f64();
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(Node::start(scratch, &machines[number]));
        instances[number].report_to(machines[number].heartbeats);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));

    let (added, leaving) = (&machines[2], &instances[2]);
    let away = flags[2].clone();
    let started = Instant::now();
    // With `AWAY=0`, only the process is killed.
    let turned_away = trouble && std::env::var("AWAY").as_deref() != Ok("0");
    away.store(turned_away, Ordering::Relaxed);
    let word = if turned_away { "the store turns it away" } else { "the store serves it" };
    record.line(&format!("{:7.3} s  {} is added; {word}", at(started), added.name));
    let mut node = Node::start(scratch, added);
    leaving.report_to(added.heartbeats);
    if !node.wait_until_ready() {
        return None;
    }
    let (sent, stopped) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let out = Arc::new(AtomicBool::new(false));
    let client = {
        let (port, sent, out, stopped) = (added.callers, sent.clone(), out.clone(), stopped.clone());
        std::thread::spawn(move || send_requests(port, "c", &sent, &out, &stopped))
    };
    {
        let (port, out, stopped) = (added.ready, out.clone(), stopped.clone());
        std::thread::spawn(move || watch_readiness(port, &out, &stopped));
    }

    sleep_until(started + LEAVES_AT);
    leaving.fall_silent();
    let last = leaving.sequence();
    let answer = exchange(added.heartbeats, &leaving.departure(), Duration::from_secs(1));
    let acknowledged = Instant::now();
    if answer.is_none_or(|answer| answer.word(1) != "200") {
        record.line("the departure was not acknowledged");
        return None;
    }
    record.line(&format!("{:7.3} s  {} has left; acknowledged", at(acknowledged), leaving.id));
    if trouble {
        sleep_until(started + KILLED_AT);
        drop(node);
        record.line(&format!("{:7.3} s  {} is killed", at(Instant::now()), added.name));
        record.line(&format!("           rows of nodes in the store: {:?}", store.keys("nodes")));
        sleep_until(started + STARTED_AT);
        away.store(false, Ordering::Relaxed);
        node = Node::start(scratch, added);
    }
    sleep_until(started + STARTED_AT);
    let back = Instant::now();
    if !node.wait_until_ready() {
        return None;
    }
    record.line(&format!("{:7.3} s  {} runs, and the store serves it", at(Instant::now()), added.name));
    std::thread::sleep(LATE);
    let answer = exchange(added.heartbeats, &leaving.heartbeat(last), Duration::from_secs(1));
    let status = answer.map_or("no answer".into(), |answer| answer.word(1).to_owned());
    record.line(&format!(
        "{:7.3} s  heartbeat {last} of {}, sent before it left, arrives late: {status}",
        at(Instant::now()),
        leaving.id
    ));
    sleep_until(acknowledged + LINGERS);
    stopped.store(true, Ordering::Relaxed);
    client.join().ok()?;
    drop(node);

    let in_touch = back + CONTACT;
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap().clone();
    let (mut late, mut served) = (0, 0);
    for request in sent.iter() {
        served += usize::from(request.status == "200");
        let own = runs.iter().filter(|run| run.request == request.id && run.instance == leaving.id);
        for run in own.filter(|run| run.began > acknowledged + DRAIN) {
            let counts = request.at > in_touch;
            late += usize::from(counts);
            record.line(&format!(
                "{:7.3} s  {} runs {}, {:.3} s after the acknowledgement; sent at {:.3} s{}",
                at(run.began),
                run.instance,
                run.request,
                run.began.saturating_duration_since(acknowledged).as_secs_f64(),
                at(request.at),
                if counts { ", the machine in touch" } else { "" }
            ));
        }
    }
    record.line(&format!(
        "{} requests sent, {served} answered with 200; {late} reached {} later than DrainS after the \
         acknowledgement, the machine in touch",
        sent.len(),
        leaving.id
    ));
    Some(late > 0)
}
