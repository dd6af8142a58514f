//! An application instance: it runs requests for as long as their path says, one at a time on a
//! connection, drops a request when its connection closes, and sends heartbeats to its node.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, exchange, plain};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(5);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub instance: String,
    pub began: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
    pub whole: bool,
}

/// The runs at all instances, in the order of their beginnings.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Instance {
    pub id: String,
    pub service: String,
    pub port: u16,
    pub slots: u32,
    born: u64,
    sequence: AtomicU64,
    running: AtomicU32,
    silent: AtomicBool,
    ended: AtomicBool,
    runs: Runs,
}

impl Instance {
    /// Starts an instance at a free port.
    pub fn start(id: &str, service: &str, slots: u32, runs: &Runs) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
        let instance = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            port: listener.local_addr().expect("bound").port(),
            slots,
            born: u64::try_from(born.as_millis()).unwrap_or_default(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            runs: runs.clone(),
        });
        let shared = instance.clone();
        listener.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || {
            while !shared.ended.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) if stream.set_nonblocking(false).is_ok() => {
                        let instance = shared.clone();
                        std::thread::spawn(move || instance.serve(Connection::new(stream)));
                    }
                    _ => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        instance
    }

    /// Ends the instance: it accepts no connection, and what it runs is lost.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// The heartbeat with a sequence number, as it is sent.
    pub fn heartbeat(&self, sequence: u64) -> String {
        let body = format!(
            "{{\"Address\":\"127.0.0.1:{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\
             \"Version\":\"v1\",\"Zone\":\"z\",\"Slots\":{}}},\"Status\":{{\"State\":\"ready\",\
             \"Sequence\":{sequence},\"ColdLeftS\":0}}}}",
            self.port, self.born, self.service, self.slots
        );
        plain("PUT", &format!("/instances/{}", self.id), &body)
    }

    /// The notice that the instance leaves.
    pub fn departure(&self) -> String {
        let body = format!("{{\"born\":{}}}", self.born);
        plain("DELETE", &format!("/instances/{}", self.id), &body)
    }

    /// Number of the last heartbeat.
    pub fn sequence(&self) -> u64 {
        self.sequence.load(Ordering::Relaxed)
    }

    /// Ends the heartbeats.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Sends heartbeats to the node's heartbeat port until it falls silent.
    pub fn report_to(self: &Arc<Self>, node_port: u16) {
        let instance = self.clone();
        std::thread::spawn(move || {
            while !instance.silent.load(Ordering::Relaxed) {
                let sequence = instance.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                let request = instance.heartbeat(sequence);
                let acknowledged = exchange(node_port, &request, Duration::from_secs(1));
                let known = acknowledged.is_some_and(|answer| answer.word(1) == "200");
                std::thread::sleep(if known { HEARTBEAT_PERIOD } else { TICK * 20 });
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            if self.ended.load(Ordering::Relaxed) || !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Runs or rejects a request; returns whether the connection stays open.
    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.header("bluebellgap-request-id").to_owned();
        let reject = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nBluebellgap-Not-Run: 1\r\nBluebellgap-Instance-Id: {}\r\n\
                 Bluebellgap-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
        };
        if request.header("bluebellgap-expect-instance") != self.id {
            return connection.write(&reject("421 Misdirected Request"));
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return connection.write(&reject("503 Service Unavailable"));
        }
        let began = Instant::now();
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request: id.clone(),
                instance: self.id.clone(),
                began,
                ended: None,
                whole: false,
            });
            runs.len() - 1
        };
        let deadline = request.header("bluebellgap-deadline-ms").parse().unwrap_or(0);
        let limit = Duration::from_millis(deadline);
        let work = Duration::from_millis(work_ms(request.word(1)));
        let mut closed = false;
        while began.elapsed() < work.min(limit) && !closed {
            std::thread::sleep(TICK);
            closed = connection.is_closed() || self.ended.load(Ordering::Relaxed);
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        let whole = !closed && work <= limit;
        {
            let run = &mut self.runs.lock().unwrap()[index];
            run.ended = Some(Instant::now());
            run.whole = whole;
        }
        let body = format!("{} {}", self.id, request.word(1));
        let status = if whole { "200 OK" } else { "504 Gateway Timeout" };
        let answer = format!(
            "HTTP/1.1 {status}\r\nBluebellgap-Request-Id: {id}\r\n\
             Bluebellgap-Server-Stamp: {}.{index}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        !closed && connection.write(&answer)
    }
}

/// Run time that a path asks for: the digits at its end.
fn work_ms(path: &str) -> u64 {
    let digits = path.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}
