//! The clients of a machine, and the platform's questions for its readiness.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{exchange, plain};
use crate::instance::Run;
use crate::node::Machine;

const HOST: &str = "jepu9.example";
pub const SERVICE: &str = "huvo11a";

pub fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"BaseVersion\":5,\"Resources\":[{{\"KindOf\":\"Routes\",\"Metadata\":{{\"Name\":\
         \"r-u6wsjnb\"}},\"Spec\":{{\"Host\":\"{HOST}\",\"Prefix\":\"/lepu270/\",\"Type\":\"unsafe\",\
         \"TimeoutS\":2,\"GoalS\":1,\"Priority\":1,\"Service\":\"{SERVICE}\",\"Attempts\":2}}}},\
         {{\"KindOf\":\"Services\",\"Metadata\":{{\"Name\":\"{SERVICE}\"}},\"Spec\":{{\"HealthPath\":\
         \"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}}},{{\"KindOf\":\"Limits\",\
         \"Metadata\":{{}},\"Spec\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}]}}"
    )
}

/// One request of a client.
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub status: String,
}

/// Asks for `/ready` once a second, and takes the clients of the machine out after two misses.
fn watch_readiness(port: u16, out: &AtomicBool, stopped: &AtomicBool) {
    let (began, mut asked, mut misses) = (Instant::now(), 0, 0);
    while !stopped.load(Ordering::Relaxed) {
        let answer = exchange(port, &plain("GET", "/ready", ""), Duration::from_secs(1));
        let ready = answer.is_some_and(|answer| answer.word(1) == "200");
        misses = if ready { 0 } else { misses + 1 };
        out.store(misses >= 2, Ordering::Relaxed);
        asked += 1;
        sleep_until(began + Duration::from_secs(1) * asked);
    }
}

/// Sends unsafe requests to a machine, one after the other, until `stopped`.
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
            "POST /lepu270/{id}-300 HTTP/1.1\r\nHost: {HOST}\r\nBluebellgap-Request-Id: {id}\r\n\
             Bluebellgap-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        let at = Instant::now();
        let answer = exchange(port, &text, Duration::from_secs(4));
        let status = answer.map_or("no answer".into(), |answer| answer.word(1).to_owned());
        sent.lock().unwrap().push(Sent { id, at, status });
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// The clients of one machine.
pub struct Clients {
    sent: Arc<Mutex<Vec<Sent>>>,
    stopped: Arc<AtomicBool>,
    client: JoinHandle<()>,
}

impl Clients {
    /// Starts the clients of a machine, whose requests have ids that begin with `name`.
    pub fn start(machine: &Machine, name: &str) -> Self {
        let (sent, stopped) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let out = Arc::new(AtomicBool::new(false));
        let client = {
            let (port, name) = (machine.callers, name.to_owned());
            let (sent, out, stopped) = (sent.clone(), out.clone(), stopped.clone());
            std::thread::spawn(move || send_requests(port, &name, &sent, &out, &stopped))
        };
        let (port, end) = (machine.ready, stopped.clone());
        std::thread::spawn(move || watch_readiness(port, &out, &end));
        Self { sent, stopped, client }
    }

    /// How many requests that ran at the instance when it ended were answered with no success.
    pub fn lost(sent: &[Sent], runs: &[Run], instance: &str) -> usize {
        let cut = runs.iter().filter(|run| run.instance == instance && !run.whole);
        cut.filter(|run| sent.iter().any(|sent| sent.id == run.request && sent.status != "200"))
            .count()
    }

    /// Stops them; returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.client.join();
        std::mem::take(&mut *self.sent.lock().unwrap())
    }
}
