//! Stand-in for an application instance: serves requests and sends heartbeats to its node.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message, encode};
use crate::record::Record;

/// `BeatIntervalS` of the settings.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// Interval at which the listener looks for connections and for the end of the instance.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What an instance does with a request that is meant for it.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// Works on it for this long, and answers 200.
    Run(Duration),
    /// Rejects it with 503 and `Bluebellgap-Not-Run`. After the delay, if there is one, a second copy
    /// of that answer follows on the same connection.
    Shed { second_copy: Option<Duration> },
}

type Policy = dyn Fn(&Message) -> Decision + Send + Sync;

pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born_ms: u64,
    slots: u32,
    sequence: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    /// Open connections, closed at the end.
    open: Mutex<Vec<std::net::TcpStream>>,
    policy: Box<Policy>,
    record: Arc<Record>,
}

impl Instance {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
        record: &Arc<Record>,
        policy: impl Fn(&Message) -> Decision + Send + Sync + 'static,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("a time after 1970").as_millis();
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            control,
            born_ms: u64::try_from(born).expect("a time in this age"),
            slots: 12,
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
            policy: Box::new(policy),
            record: record.clone(),
        });
        let shared = instance.clone();
        thread::spawn(move || shared.accept());
        let shared = instance.clone();
        thread::spawn(move || {
            while shared.beating.load(Ordering::SeqCst) {
                shared.beat();
                thread::sleep(BEAT_INTERVAL);
            }
        });
        instance
    }

    /// Accepts connections until the instance ends.
    fn accept(self: Arc<Self>) {
        while !self.ended.load(Ordering::SeqCst) {
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            listener.set_nonblocking(true).expect("a socket option");
            while !self.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).expect("a socket option");
                let shared = self.clone();
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        }
    }

    /// Sends the next heartbeat, with state `ready`.
    fn beat(&self) {
        let sequence = self.next_sequence();
        self.send_beat(sequence);
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat with state `ready`; returns the status of the answer, 0 without one.
    pub fn send_beat(&self, sequence: u64) -> u16 {
        let body = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"bkk-a\",\
             \"Slots\":{}}},\"Status\":{{\"State\":\"ready\",\"Sequence\":{sequence},\"ColdLeftS\":0}},\
             \"born\":{}}}",
            self.address, self.service, self.slots, self.born_ms
        );
        self.notify("PUT", &body)
    }

    /// Sends `DELETE /instances/ID`, and no heartbeats after it; returns the status of the answer.
    pub fn send_departure(&self) -> u16 {
        self.beating.store(false, Ordering::SeqCst);
        self.notify("DELETE", &format!("{{\"born\":{}}}", self.born_ms))
    }

    fn notify(&self, method: &str, body: &str) -> u16 {
        let line = format!("{method} /instances/{}", self.id);
        let headers = [("content-type", "application/json")];
        let second = Duration::from_secs(1);
        let answer = http::call(self.control, &line, &headers, body.as_bytes(), second);
        answer.map_or(0, |answer| answer.status())
    }

    /// Ends the instance: it accepts and answers nothing any more.
    pub fn end(&self) {
        self.beating.store(false, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        self.close_all();
    }

    fn close_all(&self) {
        for stream in self.open.lock().expect("no panic under the lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection) {
        if let Ok(stream) = connection.stream.try_clone() {
            self.open
                .lock()
                .expect("no panic under the lock")
                .push(stream);
        }
        while let Ok(Some(request)) = connection.read() {
            let request_id = request.header("bluebellgap-request-id").unwrap_or_default();
            let expected = request.header("bluebellgap-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let answer = self.answer("421 Misdirected Request", &request, false);
                if connection.write(&answer).is_err() {
                    return;
                }
                continue;
            }
            let path = request.word(1).to_owned();
            match (self.policy)(&request) {
                Decision::Run(work) => {
                    self.record.run(&self.id, &self.service, request_id, &path);
                    thread::sleep(work);
                    let answer = self.answer("200 OK", &request, true);
                    if connection.write(&answer).is_err() {
                        return;
                    }
                }
                Decision::Shed { second_copy } => {
                    self.record
                        .line(&format!("SHED {request_id} at {}", self.id));
                    let mut answer = self.answer("503 Service Unavailable", &request, false);
                    answer
                        .headers
                        .push(("Bluebellgap-Not-Run".into(), "1".into()));
                    if connection.write(&answer).is_err() {
                        return;
                    }
                    if let Some(delay) = second_copy {
                        self.send_later(&connection, &answer, request_id, delay);
                    }
                }
            }
        }
    }

    /// Sends an answer once more after a delay, on the connection of the first copy.
    fn send_later(&self, connection: &Connection, answer: &Message, id: &str, delay: Duration) {
        let Ok(mut stream) = connection.stream.try_clone() else {
            return;
        };
        let (bytes, record, id) = (encode(answer), self.record.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(delay);
            let sent = std::io::Write::write_all(&mut stream, &bytes).is_ok();
            record.line(&format!("SECOND COPY of the 503 for {id}, sent: {sent}"));
        });
    }

    fn answer(&self, status: &str, request: &Message, stamped: bool) -> Message {
        let request_id = request.header("bluebellgap-request-id").unwrap_or_default();
        let mut headers = vec![
            ("Bluebellgap-Request-Id".to_owned(), request_id.to_owned()),
            ("Bluebellgap-Instance-Id".to_owned(), self.id.clone()),
        ];
        let mut body = Vec::new();
        if stamped {
            let stamp = format!("{}.{}.{}", self.id, request_id, request.body.len());
            headers.push(("Bluebellgap-Server-Stamp".to_owned(), stamp));
            body = format!("{} ran {request_id}\n", self.id).into_bytes();
        }
        Message {
            first_line: format!("HTTP/1.1 {status}"),
            headers,
            body,
        }
    }
}
