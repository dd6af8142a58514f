//! End-to-end tests with separate processes: platform, targets and nodes, driven by the command
//! line.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bluebellgap::standin::Caller;

/// Time limit for a version to come into force on a node.
const LIMIT: Duration = Duration::from_secs(20);

/// A running `bluebellgap` process; killed on drop.
struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts the program and waits for the first line of its standard output.
    fn start(arguments: &[&str]) -> Self {
        let mut child = command(arguments).stdout(Stdio::piped()).spawn().unwrap();
        let mut first_line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut first_line).unwrap();
        Self {
            child,
            first_line: first_line.trim().to_owned(),
        }
    }

    /// The address on the first line of a stand-in.
    fn address(&self) -> SocketAddr {
        self.first_line.parse().unwrap()
    }

    /// The address of a listener, from the JSON on the first line of a node.
    fn listener(&self, name: &str) -> SocketAddr {
        let addresses: serde_json::Value = serde_json::from_str(&self.first_line).unwrap();
        addresses[name].as_str().unwrap().parse().unwrap()
    }

    fn terminate(&mut self) -> std::process::ExitStatus {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        self.child.wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellgap"));
    command.args(arguments).env("RUST_LOG", "warn");
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().unwrap()
}

/// Runs a command that must succeed; returns its standard output.
fn run_successfully(arguments: &[&str]) -> String {
    let output = run(arguments);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {error}");
    String::from_utf8(output.stdout).unwrap()
}

fn as_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

const BUNDLE: &str = "[bundle]\nname = hirenet\n[class short]\nkind = short\n\
    [group depot]\nreserved_short_percent = 25\n[service booking]\ngroup = depot\n\
    [route units]\npath = /units\nservice = booking\nclass = short\nidempotent = yes\n\
    [route book]\npath = /book\nservice = booking\nclass = short\nidempotent = no\n";

/// One platform, three nodes with a target each, one operator.
struct Cluster {
    folder: tempfile::TempDir,
    platform: Process,
    targets: Vec<Process>,
    nodes: Vec<Process>,
}

impl Cluster {
    fn start(service_ms: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key = folder.path().join("alice.key");
        let operators = run_successfully(&["keygen", "alice", "--out", as_str(&key)]);
        let platform = Process::start(&["standin", "platform"]);
        let mut cluster = Self {
            folder,
            platform,
            targets: Vec::new(),
            nodes: Vec::new(),
        };
        for (name, data_center) in [("n1", "bkk-a"), ("n2", "bkk-a"), ("n3", "cnx-a")] {
            let options = [
                "standin",
                "target",
                "--name",
                name,
                "--service-ms",
                service_ms,
            ];
            let target = Process::start(&options);
            let settings = cluster.write_settings(name, data_center, target.address(), &operators);
            cluster.targets.push(target);
            cluster
                .nodes
                .push(Process::start(&["node", "--settings", as_str(&settings)]));
        }
        cluster
    }

    /// Writes the settings of a node; the region is the first three letters of its data centre.
    fn write_settings(
        &self,
        name: &str,
        data_center: &str,
        target: SocketAddr,
        operators: &str,
    ) -> PathBuf {
        let region = &data_center[..3];
        let platform = self.platform.address();
        let settings = format!(
            "[node]\nid = {name}\nregion = {region}\ndata_center = {data_center}\n\
             [listen]\ncaller = 127.0.0.1:0\nmesh = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\n[platform]\naddress = {platform}\n\
             [signing]\nrequired_signatures = 1\n[operators]\n{operators}\n\
             [target]\ngroup = depot\naddress = {target}\nslots = 12\nconnections = 110\n"
        );
        self.write(&format!("{name}.ini"), &settings)
    }

    fn write(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).unwrap();
        path
    }

    /// Runs a command as the operator, with the address, name and key that it needs.
    fn run_as_operator(&self, command: &str, arguments: &[&str]) -> Output {
        let platform = self.platform.address().to_string();
        let key = self.folder.path().join("alice.key");
        let mut all_arguments: Vec<&str> = command.split(' ').collect();
        all_arguments.extend(["--platform", &platform]);
        if !command.starts_with("status") {
            all_arguments.extend(["--operator", "alice"]);
        }
        if ["approve", "supersede", "sign"].contains(&command) {
            all_arguments.extend(["--key", as_str(&key)]);
        }
        all_arguments.extend(arguments);
        run(&all_arguments)
    }
}

/// Polls a node's status until it has at least `version` in force.
async fn wait_for_version(node: &Process, version: u64) {
    let admin = Caller::new(node.listener("admin"));
    let began = Instant::now();
    loop {
        let answer = admin.get("/status").await;
        let status: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if status["version"].as_u64() >= Some(version) {
            return;
        }
        assert!(
            began.elapsed() < LIMIT,
            "version {version} is not in force within {LIMIT:?}: {status}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_is_checked_pushed_approved_and_served() {
    let mut cluster = Cluster::start("1");
    let bundle = cluster.write("bundle.ini", BUNDLE);
    run_successfully(&["bundle", "check", as_str(&bundle)]);
    let pushed = cluster.run_as_operator("bundle push", &[as_str(&bundle)]);
    assert_eq!(
        String::from_utf8_lossy(&pushed.stdout),
        "version 1 stored as a draft\n"
    );
    let approved = cluster.run_as_operator("approve", &["1"]);
    assert!(approved.status.success(), "{approved:?}");
    for node in &cluster.nodes {
        wait_for_version(node, 1).await;
    }

    let caller = Caller::new(cluster.nodes[0].listener("caller"));
    let answer = caller.get("/units/7").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let booked = caller.post("/book", "key-1", "unit 7").await;
    assert_eq!(booked.status, 200, "{booked:?}");
    let other_caller = Caller::new(cluster.nodes[2].listener("caller"));
    let repeated = other_caller.post("/book", "key-1", "unit 7").await;
    assert_eq!((repeated.replayed, &repeated.body), (true, &booked.body));

    let status = cluster.run_as_operator("status", &["--output", "json"]);
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["rollout"]["active"]["version"], 1);

    assert!(cluster.nodes[1].terminate().success());
    let answer = caller.get("/units/8").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_its_place_and_an_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bundle.ini");
    std::fs::write(
        &path,
        BUNDLE.replace(
            "service = booking\nclass = short\nidempotent = no",
            "service = gone\nclass = short",
        ),
    )
    .unwrap();
    let output = run(&["bundle", "check", as_str(&path)]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.contains("[route book] service: no [service gone] in this bundle"),
        "{error}"
    );
    assert!(
        error.contains("[route book] idempotent: is required"),
        "{error}"
    );

    let output = run(&["status", "--platform", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4), "{output:?}");
    let output = run(&["approve", "--nonsense"]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_completes_requests_in_flight() {
    let mut cluster = Cluster::start("1500");
    let bundle = cluster.write("bundle.ini", BUNDLE);
    assert!(
        cluster
            .run_as_operator("bundle push", &[as_str(&bundle)])
            .status
            .success()
    );
    assert!(cluster.run_as_operator("approve", &["1"]).status.success());
    for node in &cluster.nodes {
        wait_for_version(node, 1).await;
    }
    let caller = Caller::new(cluster.nodes[0].listener("caller"));
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.post("/book", &format!("k{number}"), "unit").await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(cluster.nodes[1].terminate().success());
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
