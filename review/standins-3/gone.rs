//! GONE: clients that send further safe requests before the first is answered leave early.
//!
//! Ten clients. Three of them (`give_up`, a share of 0.3) send 20 safe requests each on one connection
//! and close it after 500 ms; the others stay. Nothing else happens.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{Connection, exchange};
use crate::instance::{Instance, Runs};
use crate::node::{Machine, Node, free_port};
use crate::store::Store;

const HOST: &str = "jepu9.example";
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
/// As in the small deployments.
const SLOTS: u32 = 12;
/// Requests that a client sends before the first is answered.
const AHEAD: usize = 20;
const LEAVING: usize = 3;
const STAYING: usize = 7;
/// The clients that leave do so after this time; `give_up` names up to 1,500 ms.
const LEAVE_AFTER: Duration = Duration::from_millis(500);
/// Work of their requests. The route's `TimeoutS` is 3, their deadline 6 s.
const WORK_MS: u64 = 2_500;
/// The rule's half second.
const SLACK: Duration = Duration::from_millis(500);
/// "More than a few" requests.
const FEW: usize = 5;

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"BaseVersion\":5,\"Resources\":[{{\"KindOf\":\"Routes\",\"Metadata\":{{\"Name\":\
         \"r-u6wsjnb\"}},\"Spec\":{{\"Host\":\"{HOST}\",\"Prefix\":\"/lepu270/\",\"Type\":\"safe\",\
         \"TimeoutS\":3,\"GoalS\":1.5,\"Priority\":2,\"Service\":\"{SERVICE}\",\"Attempts\":2}}}},\
         {{\"KindOf\":\"Services\",\"Metadata\":{{\"Name\":\"{SERVICE}\"}},\"Spec\":{{\"HealthPath\":\
         \"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}}},{{\"KindOf\":\"Limits\",\
         \"Metadata\":{{}},\"Spec\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}]}}"
    )
}

fn request(id: &str, work_ms: u64) -> String {
    format!(
        "GET /lepu270/{id}-{work_ms} HTTP/1.1\r\nHost: {HOST}\r\nBluebellgap-Request-Id: {id}\r\n\
         Bluebellgap-Deadline-Ms: 6000\r\n\r\n"
    )
}

/// Sends the requests of a client ahead; closes early, or reads all answers. Returns how many answers
/// were whole, and when the connection was closed.
fn send_ahead(port: u16, name: &str, leaves: bool) -> (usize, Instant) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let Ok(stream) = TcpStream::connect(address) else {
        return (0, Instant::now());
    };
    let mut connection = Connection::new(stream);
    for number in 0..AHEAD {
        connection.write(&request(&format!("{name}x{number}"), WORK_MS));
    }
    let mut answered = 0;
    if leaves {
        std::thread::sleep(LEAVE_AFTER);
    } else {
        while answered < AHEAD && connection.read().is_some_and(|answer| answer.word(1) == "200") {
            answered += 1;
        }
    }
    (answered, Instant::now())
}

pub fn play(scratch: &Path, trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::start();
    store.put("op", "config", &configuration());
    let runs = Runs::default();
    let (mut nodes, mut callers) = (Vec::new(), Vec::new());
    let mesh = free_port();
    for (index, zone) in ZONES.iter().enumerate() {
        let instance = Instance::start(&format!("i-{index}"), SERVICE, SLOTS, &runs);
        let machine = Machine::new(index, zone, SERVICE, mesh, instance.port, store.open().0);
        nodes.push(Node::start(scratch, &machine));
        instance.report_to(machine.heartbeats);
        callers.push(machine.callers);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return None;
    }
    let began = Instant::now();
    let at = |moment: Instant| moment.saturating_duration_since(began).as_secs_f64();
    std::thread::sleep(Duration::from_secs(6));
    let ordinary = Arc::new(Mutex::new((0, 0)));
    let staying: Vec<_> = (0..STAYING)
        .map(|client| {
            let (port, counts) = (callers[client % callers.len()], ordinary.clone());
            std::thread::spawn(move || {
                for number in 0..60 {
                    let text = request(&format!("s{client}n{number}"), 100);
                    let answer = exchange(port, &text, Duration::from_secs(6));
                    let mut counts = counts.lock().unwrap();
                    counts.0 += 1;
                    counts.1 += u32::from(answer.is_some_and(|answer| answer.word(1) == "200"));
                    drop(counts);
                    std::thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    let mut left = Vec::new();
    for client in 0..LEAVING {
        let name = format!("c{client}");
        let (answered, closed) = send_ahead(callers[client], &name, trouble);
        let (what, when) = (if trouble { "closes" } else { "has its answers" }, at(closed));
        record.line(&format!(
            "{when:7.3} s  client {name} sent {AHEAD} requests ahead, {answered} answered; it {what}"
        ));
        left.push((name, answered, closed));
        std::thread::sleep(Duration::from_secs(4));
    }
    for client in staying {
        client.join().ok()?;
    }
    let (sent, served) = *ordinary.lock().unwrap();
    record.line(&format!("clients that stay: {sent} requests, {served} answered with 200"));
    let runs = runs.lock().unwrap().clone();
    if !trouble {
        return Some(left.iter().any(|(_, answered, _)| *answered < AHEAD));
    }
    let (mut affected, mut at_work, mut later) = (0, 0, 0);
    for (name, _, closed) in &left {
        let own = runs.iter().filter(|run| run.request.starts_with(&format!("{name}x")));
        for run in own {
            let ended = run.ended.unwrap_or_else(Instant::now);
            let began_later = run.began > *closed + SLACK;
            let still = run.began <= *closed && ended > *closed + SLACK;
            affected += usize::from(run.began <= *closed);
            at_work += usize::from(still);
            later += usize::from(began_later);
            record.line(&format!(
                "{:7.3} s  {} runs {} until {:.3} s ({}){}",
                at(run.began),
                run.instance,
                run.request,
                at(ended),
                if run.whole { "whole" } else { "dropped" },
                if began_later {
                    ", reached it over 0.5 s after the close"
                } else if still {
                    ", still at work 0.5 s after the close"
                } else {
                    ""
                }
            ));
        }
    }
    record.line(&format!(
        "of {affected} runs that the clients left, {at_work} were still at work half a second later; \
         {later} requests reached an instance over half a second later"
    ));
    Some(4 * at_work > affected || later > FEW)
}
