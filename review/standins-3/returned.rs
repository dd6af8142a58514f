//! DRAIN: an instance that has left is in use again after its node was started again.
//!
//! A machine is added while the store turns it away. Its instance leaves, which the node acknowledges.
//! The node's process is killed and started again; the store serves it from then on. A heartbeat that the
//! instance sent before it left arrives late.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::Record;
use crate::clients::{Clients, SERVICE, configuration, sleep_until};
use crate::http::exchange;
use crate::instance::{Instance, Runs};
use crate::node::{Machine, Node, free_port};
use crate::store::Store;

const ZONES: [&str; 3] = ["bkk-a", "cnx-a", "hkt-a"];
const SLOTS: u32 = 12;
/// Time for which the store turns the added machine away. `platform_down` names up to 9 s.
const AWAY: Duration = Duration::from_millis(7_000);
/// Time from the start of the machine to the departure of its instance, to SIGTERM and to the next start.
const LEAVES_AT: Duration = Duration::from_millis(2_000);
const STOPPED_AT: Duration = Duration::from_millis(2_300);
const STARTED_AT: Duration = AWAY;
/// Time after the start at which the late heartbeat arrives.
const LATE: Duration = Duration::from_millis(100);
/// `GraceS`, `DrainS` and `ContactS`.
const GRACE: Duration = Duration::from_secs(6);
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_secs(4);
/// Time after the acknowledgement for which the instance goes on serving.
const LINGERS: Duration = Duration::from_secs(14);
/// Time for which the clients go on after that.
const AFTERWARDS: Duration = Duration::from_secs(1);

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
    // With `AWAY=0`, the node is only stopped and started.
    let turned_away = trouble && std::env::var("AWAY").as_deref() != Ok("0");
    away.store(turned_away, Ordering::Relaxed);
    let word = if turned_away { "the store turns it away" } else { "the store serves it" };
    record.line(&format!("{:7.3} s  {} is added; {word}", at(started), added.name));
    let mut node = Node::start(scratch, added);
    leaving.report_to(added.heartbeats);
    if !node.wait_until_ready() {
        return None;
    }
    let clients = Clients::start(added, "c");

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
        sleep_until(started + STOPPED_AT);
        record.line(&format!("{:7.3} s  SIGTERM to {}", at(Instant::now()), added.name));
        if !node.stop(GRACE) {
            return None;
        }
        record.line(&format!("{:7.3} s  it has ended", at(Instant::now())));
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
    leaving.end();
    record.line(&format!("{:7.3} s  {} ends", at(Instant::now()), leaving.id));
    std::thread::sleep(AFTERWARDS);
    let sent = clients.stop();
    drop(node);

    let in_touch = back + CONTACT;
    let runs = runs.lock().unwrap().clone();
    let (mut late, mut served) = (0, 0);
    for request in &sent {
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
        "{} requests that ran at {} when it ended were answered with no success",
        Clients::lost(&sent, &runs, &leaving.id),
        leaving.id
    ));
    record.line(&format!(
        "{} requests sent, {served} answered with 200; {late} reached {} later than DrainS after the \
         acknowledgement, the machine in touch",
        sent.len(),
        leaving.id
    ));
    Some(late > 0)
}
