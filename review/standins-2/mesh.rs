//! A small deployment: node processes with settings as the deploy file fills them in, instances,
//! clients, and the record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Client, Request, Response, Server};
use crate::json::{Json, quote};
use crate::relay::Relay;
use crate::store::Store;

/// Bounds of the deployment, as in the settings on the pages.
pub const DRAIN_S: f64 = 2.5;
pub const GRACE_S: f64 = 6.0;
pub const CONTACT_S: f64 = 4.0;
pub const CONFIG_APPLY_S: f64 = 2.5;
pub const BEAT: Duration = Duration::from_millis(1500);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn now_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    i64::try_from(now.as_millis()).unwrap()
}

/// A number that differs between runs.
pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    let mut x =
        nanos ^ u64::from(std::process::id()) << 40 ^ count.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    for _ in 0..3 {
        x ^= x >> 30;
        x = x.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x ^= x >> 27;
    }
    x
}

#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub instance: String,
    pub method: String,
    pub path: String,
    pub caller: String,
    pub at: f64,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub request: String,
    pub path: String,
    pub node: String,
    pub sent: f64,
    pub ended: f64,
    /// `None` if the connection ended without a complete answer or the time ran out.
    pub status: Option<u16>,
    pub stamped: bool,
}

/// What was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    pub runs: Mutex<Vec<Run>>,
    pub sent: Mutex<Vec<Sent>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
            sent: Mutex::default(),
        }))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }

    fn quiet(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Net {
    subnet: (u8, u8),
    pub port: u16,
}

impl Net {
    pub fn new() -> Self {
        let random = random();
        Self {
            subnet: (64 + (random % 128) as u8, (random >> 8) as u8),
            port: 21_000 + (random >> 16) as u16 % 10_000,
        }
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet.0, self.subnet.1, machine))
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.port + port)
    }
}

pub const APP: u16 = 0;
pub const INBOUND: u16 = 1;
pub const READY: u16 = 2;
pub const OUTBOUND: u16 = 4;
pub const CONTROL: u16 = 6;
pub const METRICS: u16 = 10;
pub const STORE: u16 = 9;

/// A machine with the node's process.
pub struct Machine {
    pub name: String,
    pub number: u8,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub store: SocketAddr,
    pub mesh: Option<SocketAddr>,
    pub app: Option<SocketAddr>,
    pub net: Net,
    pub folder: PathBuf,
    pub program: PathBuf,
    pub child: Option<Child>,
}

impl Machine {
    fn file(&self) -> PathBuf {
        self.folder.join(format!("{}.ini", self.name))
    }

    /// Writes the settings as the deploy file's template gives them.
    pub fn write_settings(&self) {
        let net = &self.net;
        let at = |port| net.at(self.number, port);
        let mut text = format!(
            "[node]\nid = {}\nregion = {}\ndata_center = {}\nservice = {}\n\n[listen]\ncaller = {}\n\
             mesh = {}\nheartbeat = {}\nadmin = {}\nmetrics = {}\n",
            self.name,
            self.region,
            self.zone,
            self.service,
            at(OUTBOUND),
            at(INBOUND),
            at(CONTROL),
            at(READY),
            at(METRICS),
        );
        if let Some(mesh) = self.mesh {
            text.push_str(&format!("advertise = {mesh}\n"));
        }
        text.push_str(&format!(
            "\n[platform]\naddress = {}\n\n[target]\naddress = {}\n\n[seeds]\nseed0 = {}\nseed1 = {}\n\n\
             [shutdown]\ngrace_s = {GRACE_S}\n\n[retries]\nratio = 0.2\nslack = 56\nwindow_s = 10\n",
            self.store,
            self.app.unwrap_or(at(APP)),
            net.at(1, CONTROL),
            net.at(2, CONTROL),
        ));
        std::fs::write(self.file(), text).expect("settings are written");
    }

    pub fn start(&mut self) {
        let further = "[limits]\nmemory_mb = 260\nmax_fds = 4100\n[placement]\ncost = on\n";
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("log opens");
        let path = std::env::var_os("PATH").unwrap_or_default();
        let child = Command::new(&self.program)
            .arg("sidecar")
            .arg("--settings")
            .arg(self.file())
            .env_clear()
            .env("PATH", path)
            .env("BLUEBELLGAP_FURTHER_SETTINGS", further)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.note_pid(child.id());
        self.child = Some(child);
    }

    /// Notes the process for the script, which ends those that a failed case has left.
    fn note_pid(&self, pid: u32) {
        let file = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut client) =
            Client::connect(self.net.at(self.number, READY), Duration::from_secs(1))
        else {
            return false;
        };
        let answer = client.call(
            "GET",
            "/ready",
            &[("host", "node")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Document of the node's state, as operators read it.
    pub fn status(&self) -> Option<Json> {
        let mut client =
            Client::connect(self.net.at(self.number, READY), Duration::from_secs(1)).ok()?;
        let answer = client
            .call(
                "GET",
                "/status",
                &[("host", "node")],
                b"",
                Duration::from_secs(1),
            )
            .ok()?;
        Json::parse(&String::from_utf8_lossy(&answer.body))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.net.at(self.number, OUTBOUND)
    }

    pub fn control(&self) -> SocketAddr {
        self.net.at(self.number, CONTROL)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// State of one start of an instance.
pub struct Life {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    pub born: i64,
    sequence: AtomicU64,
    pub state: Mutex<&'static str>,
    work: Duration,
    over: AtomicBool,
    /// Whether it sends no more heartbeats.
    quiet: AtomicBool,
    record: Arc<Record>,
}

/// An instance that sends heartbeats and runs requests.
pub struct Instance {
    pub life: Arc<Life>,
    server: Server,
    beats: Option<std::thread::JoinHandle<()>>,
}

pub struct Place<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub work: Duration,
}

impl Instance {
    pub fn start(id: &str, born: i64, place: &Place, record: &Arc<Record>) -> Self {
        let life = Arc::new(Life {
            id: id.to_owned(),
            service: place.service.to_owned(),
            zone: place.zone.to_owned(),
            address: place.address,
            control: place.control,
            born,
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            work: place.work,
            over: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            record: record.clone(),
        });
        let serving = life.clone();
        let server = Server::start(
            place.address,
            Arc::new(move |request| serving.run(&request)),
        );
        let server = server.expect("the instance's address is free");
        record.note(&format!(
            "instance {id} of {} starts, born {born}",
            place.service
        ));
        let beating = life.clone();
        let beats = std::thread::spawn(move || {
            let ended =
                || beating.over.load(Ordering::Relaxed) || beating.quiet.load(Ordering::Relaxed);
            while !ended() {
                beating.beat();
                let until = Instant::now() + BEAT;
                while Instant::now() < until && !ended() {
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        });
        Self {
            life,
            server,
            beats: Some(beats),
        }
    }

    /// Ends without a word, as in a crash.
    pub fn crash(&mut self) {
        self.life.over.store(true, Ordering::Relaxed);
        self.server.close();
        if let Some(beats) = self.beats.take() {
            let _ = beats.join();
        }
        self.life
            .record
            .note(&format!("instance {} ends", self.life.id));
    }

    /// Says that it leaves; returns when that was acknowledged.
    pub fn drain(&self) -> Option<f64> {
        *self.life.state.lock().unwrap() = "draining";
        let acknowledged = self.life.beat();
        let now = self.life.record.now();
        self.life.record.note(&format!(
            "{} reports draining, acknowledged: {acknowledged}",
            self.life.id
        ));
        acknowledged.then_some(now)
    }

    /// Sends its departure; it goes on to serve, but sends no more heartbeats.
    pub fn depart(&mut self) -> Option<f64> {
        self.life.quiet.store(true, Ordering::Relaxed);
        if let Some(beats) = self.beats.take() {
            let _ = beats.join();
        }
        let body = format!("{{\"born\":{}}}", self.life.born);
        let answer = self.life.call("DELETE", &body);
        self.life
            .record
            .note(&format!("{} sends DELETE: {answer:?}", self.life.id));
        (answer == Some(200)).then(|| self.life.record.now())
    }

    /// Sends its departure and ends.
    pub fn leave(&mut self) {
        self.life.over.store(true, Ordering::Relaxed);
        let body = format!("{{\"born\":{}}}", self.life.born);
        let answer = self.life.call("DELETE", &body);
        self.life
            .record
            .note(&format!("{} sends DELETE: {answer:?}", self.life.id));
        self.crash();
    }
}

impl Life {
    pub fn body(&self, sequence: u64) -> String {
        format!(
            "{{\"Address\":{},\"Info\":{{\"Service\":{},\"Version\":\"v1\",\"Zone\":{},\"Slots\":12}},\
             \"Status\":{{\"State\":{},\"Sequence\":{sequence},\"ColdLeftS\":0}},\"born\":{}}}",
            quote(&self.address.to_string()),
            quote(&self.service),
            quote(&self.zone),
            quote(*self.state.lock().unwrap()),
            self.born
        )
    }

    /// The next heartbeat, which its sender delivers later.
    pub fn next_body(&self) -> String {
        self.body(self.sequence.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Sends a heartbeat; returns whether it was acknowledged within a second.
    pub fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        self.call("PUT", &self.body(sequence)) == Some(200)
    }

    pub fn call(&self, method: &str, body: &str) -> Option<u16> {
        let timeout = Duration::from_secs(1);
        let mut client = Client::connect(self.control, timeout).ok()?;
        let path = format!("/instances/{}", self.id);
        let headers = [("host", "control"), ("content-type", "application/json")];
        let answer = client.call(method, &path, &headers, body.as_bytes(), timeout);
        answer.ok().map(|answer| answer.status)
    }

    fn run(&self, request: &Request) -> Option<Response> {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        if request.path() == "/health" {
            let status = if *self.state.lock().unwrap() == "ready" {
                200
            } else {
                503
            };
            return Some(Response::new(status, "").with("Bluebellgap-Instance-Id", &self.id));
        }
        let id = header("Bluebellgap-Request-Id");
        if header("Bluebellgap-Expect-Instance") != self.id {
            let refusal = Response::new(421, "").with("Bluebellgap-Not-Run", "1");
            return Some(
                refusal
                    .with("Bluebellgap-Instance-Id", &self.id)
                    .with("Bluebellgap-Request-Id", &id),
            );
        }
        let at = self.record.now();
        self.record.runs.lock().unwrap().push(Run {
            request: id.clone(),
            instance: self.id.clone(),
            method: request.method.clone(),
            path: request.target.clone(),
            caller: header("Bluebellgap-Caller-Service"),
            at,
        });
        self.record.quiet(&format!(
            "run {id} {} {} at {}",
            request.method, request.target, self.id
        ));
        let until = Instant::now() + self.work;
        while Instant::now() < until {
            if self.over.load(Ordering::Relaxed) {
                return None;
            }
            std::thread::sleep(
                Duration::from_millis(5).min(until.saturating_duration_since(Instant::now())),
            );
        }
        let stamp = format!("{:x}.{}", random(), self.id);
        let answer = Response::new(200, format!("{id} {}", request.target));
        Some(
            answer
                .with("Bluebellgap-Request-Id", &id)
                .with("Bluebellgap-Server-Stamp", &stamp),
        )
    }
}

/// What a client sends.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub pause: Duration,
}

/// Clients that send requests over kept connections until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(machine: &Machine, kinds: &[Kind], record: &Arc<Record>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = kinds.iter().cloned().map(|kind| {
            let (stop, record) = (stop.clone(), record.clone());
            let (address, node) = (machine.outbound(), machine.name.clone());
            std::thread::spawn(move || {
                let mut client = None;
                while !stop.load(Ordering::Relaxed) {
                    send(address, &node, &kind, &mut client, &record);
                    std::thread::sleep(kind.pause);
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Sends one request; keeps the connection if it stays open.
pub fn send(
    address: SocketAddr,
    node: &str,
    kind: &Kind,
    client: &mut Option<Client>,
    record: &Record,
) -> Option<u16> {
    let id = format!("{:016x}", random());
    if client.is_none() {
        *client = Client::connect(address, Duration::from_secs(1)).ok();
    }
    let Some(open) = client.as_mut() else {
        return None;
    };
    let deadline = kind.deadline.as_millis().to_string();
    let headers = [
        ("Host", "shop.example"),
        ("Bluebellgap-Request-Id", id.as_str()),
        ("Bluebellgap-Deadline-Ms", deadline.as_str()),
    ];
    let body = if kind.method == "POST" {
        id.as_bytes()
    } else {
        b""
    };
    let sent = record.now();
    let answer = open.call(
        kind.method,
        &kind.path,
        &headers,
        body,
        kind.deadline + Duration::from_millis(500),
    );
    let ended = record.now();
    let status = answer.as_ref().ok().map(|answer| answer.status);
    let stamped = answer
        .as_ref()
        .is_ok_and(|a| a.header("Bluebellgap-Server-Stamp").is_some());
    if answer.as_ref().map_or(true, Response::closes) {
        *client = None;
    }
    let outcome = match &answer {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("no answer ({error})"),
    };
    record.quiet(&format!(
        "sent {id} {} {} at {sent:.3}: {outcome}",
        kind.method, kind.path
    ));
    record.sent.lock().unwrap().push(Sent {
        request: id,
        path: kind.path.clone(),
        node: node.to_owned(),
        sent,
        ended,
        status,
        stamped,
    });
    status
}

#[derive(Clone, Copy)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

pub fn config(version: u64, services: &[&str], routes: &[Route]) -> String {
    let mut resources = Vec::new();
    for service in services {
        resources.push(format!(
            "{{\"KindOf\":\"Services\",\"Metadata\":{{\"Name\":\"{service}\"}},\
             \"Spec\":{{\"HealthPath\":\"/health\",\"MaxConns\":110}}}}"
        ));
    }
    for route in routes {
        let Route {
            prefix,
            kind,
            service,
        } = route;
        let name = prefix.trim_matches('/');
        resources.push(format!(
            "{{\"KindOf\":\"Routes\",\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\
             \"Host\":\"shop.example\",\"Prefix\":\"{prefix}\",\"Service\":\"{service}\",\"Type\":\"{kind}\",\
             \"TimeoutS\":2,\"GoalS\":0.8,\"Attempts\":3,\"Priority\":1}}}}"
        ));
    }
    resources.push(
        "{\"KindOf\":\"Limits\",\"Metadata\":{\"Name\":\"limits\"},\"Spec\":{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":1048576,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}"
            .to_owned(),
    );
    format!(
        "{{\"Version\":{version},\"Resources\":[{}]}}",
        resources.join(",")
    )
}

/// Waits until a condition holds; `false` after `limit`.
pub fn until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// A deployment of machines in one region, and its store.
pub struct Deployment {
    pub net: Net,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_server: Server,
    pub machines: Vec<Machine>,
    /// Relays in front of the mesh listeners, by machine; none without relays.
    pub relays: Vec<Relay>,
    folder: PathBuf,
    program: PathBuf,
}

impl Deployment {
    /// Machines given by zone and service, numbered from 1.
    pub fn start(places: &[(&str, &str)], config: &str) -> Self {
        Self::start_behind_relays(places, config, false)
    }

    /// As `start`; if `relays` is set, other machines reach each node's mesh listener at an address of
    /// its own, for a relay.
    pub fn start_behind_relays(places: &[(&str, &str)], config: &str, relays: bool) -> Self {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a folder"));
        let program = PathBuf::from(std::env::var("PROGRAM").expect("PROGRAM names the program"));
        let record =
            Record::create(&std::env::var("RECORD").expect("RECORD names a file")).expect("record");
        let net = Net::new();
        let store = Store::new();
        store.put("op", "config", config);
        let store_server = store
            .serve(net.at(200, STORE))
            .expect("the store's address is free");
        let mut deployment = Self {
            net,
            record,
            store,
            store_server,
            machines: Vec::new(),
            relays: Vec::new(),
            folder,
            program,
        };
        for (zone, service) in places {
            deployment.add(zone, service, relays);
        }
        deployment
    }

    /// Adds a machine and starts its node.
    pub fn add(&mut self, zone: &str, service: &str, relay: bool) {
        let (net, number) = (self.net, self.machines.len() as u8 + 1);
        let mesh = relay.then(|| net.at(100 + number, INBOUND));
        let mut machine = Machine {
            name: format!("sidecar-{zone}-{number}"),
            number,
            zone: zone.to_owned(),
            region: zone.split('-').next().unwrap_or_default().to_owned(),
            service: service.to_owned(),
            store: net.at(200, STORE),
            mesh,
            app: None,
            net,
            folder: self.folder.clone(),
            program: self.program.clone(),
            child: None,
        };
        if let Some(mesh) = mesh {
            let relay = Relay::start(mesh, net.at(number, INBOUND));
            self.relays
                .push(relay.expect("the relay's address is free"));
        }
        machine.write_settings();
        machine.start();
        self.machines.push(machine);
    }
    /// Waits until all nodes are ready.
    pub fn until_ready(&self) {
        if !until(Duration::from_secs(15), || {
            self.machines.iter().all(Machine::is_ready)
        }) {
            give_up(&self.record, "the nodes are not ready after 15 s");
        }
    }

    pub fn place(&self, number: usize, service: &'static str, work_ms: u64) -> Place<'_> {
        let machine = &self.machines[number - 1];
        Place {
            service,
            zone: &machine.zone,
            address: self.net.at(machine.number, APP),
            control: machine.control(),
            work: Duration::from_millis(work_ms),
        }
    }
}

/// Ends a case that could not run.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.note(&format!("could not run: {why}"));
    // Nodes end with their handles, which an exit does not drop: the caller's script ends them.
    std::process::exit(2);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Outcomes by status, of the requests that `filter` selects.
pub fn outcomes(record: &Record, filter: impl Fn(&Sent) -> bool) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sent in record
        .sent
        .lock()
        .unwrap()
        .iter()
        .filter(|sent| filter(sent))
    {
        let status = sent
            .status
            .map_or("no answer".to_owned(), |status| status.to_string());
        *counts.entry(status).or_default() += 1;
    }
    counts
}
