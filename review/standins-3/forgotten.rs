//! DRAIN: a departure that was acknowledged in an outage of the store is forgotten when all processes are
//! killed in the same outage.
//!
//! The store turns all machines away. An instance leaves, which its node acknowledges. All processes are
//! killed and started again. A heartbeat that the instance sent before it left arrives late. The store is
//! back.

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
/// Length of the outage; `platform_down` names up to 8 s for the whole store.
const OUTAGE: Duration = Duration::from_millis(6_000);
/// Times from the beginning of the outage.
const LEAVES_AT: Duration = Duration::from_millis(1_000);
const KILLED_AT: Duration = Duration::from_millis(2_500);
const STARTED_AT: Duration = Duration::from_millis(3_500);
const LATE_AT: Duration = Duration::from_millis(4_500);
/// `DrainS` and `ContactS`.
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
    let seeds: Vec<String> = machines
        .iter()
        .map(|machine| format!("{}:{}", machine.ip, machine.heartbeats))
        .collect();
    for machine in &mut machines {
        machine.seeds.clone_from(&seeds);
    }
    let began = Instant::now();
    let at = |moment: Instant| moment.saturating_duration_since(began).as_secs_f64();
    let start_all = || -> Vec<Node> {
        machines.iter().map(|machine| Node::start(scratch, machine)).collect()
    };
    let mut nodes = start_all();
    for (instance, machine) in instances.iter().zip(&machines) {
        instance.report_to(machine.heartbeats);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return None;
    }
    let clients: Vec<Clients> = machines
        .iter()
        .zip(["a", "b", "c"])
        .map(|(machine, name)| Clients::start(machine, name))
        .collect();
    std::thread::sleep(Duration::from_secs(6));

    let (machine, leaving) = (&machines[2], &instances[2]);
    let outage = Instant::now();
    if trouble {
        flags.iter().for_each(|away| away.store(true, Ordering::Relaxed));
        record.line(&format!("{:7.3} s  the store turns all machines away", at(outage)));
    }
    sleep_until(outage + LEAVES_AT);
    leaving.fall_silent();
    let last = leaving.sequence();
    let answer = exchange(machine.heartbeats, &leaving.departure(), Duration::from_secs(1));
    let acknowledged = Instant::now();
    if answer.is_none_or(|answer| answer.word(1) != "200") {
        record.line("the departure was not acknowledged");
        return Some(false);
    }
    record.line(&format!("{:7.3} s  {} has left; acknowledged", at(acknowledged), leaving.id));
    if trouble {
        sleep_until(outage + KILLED_AT);
        nodes.clear();
        record.line(&format!("{:7.3} s  all processes are killed", at(Instant::now())));
        sleep_until(outage + STARTED_AT);
        nodes = start_all();
        record.line(&format!("{:7.3} s  all processes are started again", at(Instant::now())));
    }
    sleep_until(outage + LATE_AT);
    let answer = exchange(machine.heartbeats, &leaving.heartbeat(last), Duration::from_secs(1));
    let status = answer.map_or("no answer".into(), |answer| answer.word(1).to_owned());
    record.line(&format!(
        "{:7.3} s  heartbeat {last} of {}, sent before it left, arrives late: {status}",
        at(Instant::now()),
        leaving.id
    ));
    sleep_until(outage + OUTAGE);
    flags.iter().for_each(|away| away.store(false, Ordering::Relaxed));
    let calm = Instant::now();
    record.line(&format!("{:7.3} s  the store serves all machines", at(calm)));
    sleep_until(acknowledged + LINGERS);
    leaving.end();
    record.line(&format!("{:7.3} s  {} ends", at(Instant::now()), leaving.id));
    std::thread::sleep(AFTERWARDS);
    let sent: Vec<_> = clients.into_iter().flat_map(Clients::stop).collect();
    drop(nodes);

    let in_touch = calm + CONTACT;
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
                if counts { ", all machines in touch" } else { "" }
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
         acknowledgement, all machines in touch",
        sent.len(),
        leaving.id
    ));
    Some(late > 0)
}
