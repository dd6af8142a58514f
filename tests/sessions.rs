//! Snapshots of whole sessions: the output that an operator and the answers that a caller get.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use bluebellgap::standin::{
    Answer, Caller, Layout, MemoryPlatform, Mesh, PlatformServer, sample_bundle,
};

const BUNDLE: &str = include_str!("../examples/corrib-bundle.ini");

/// Runs `bluebellgap` with the arguments in `line`; returns the command, its output and exit code
/// as a terminal shows them.
fn run_command(
    folder: &std::path::Path,
    platform: SocketAddr,
    operator: &str,
    line: &str,
) -> String {
    let key = format!("{operator}.key");
    let output = Command::new(env!("CARGO_BIN_EXE_bluebellgap"))
        .args(line.split(' '))
        .current_dir(folder)
        .env("RUST_LOG", "off")
        .env("BLUEBELLGAP_PLATFORM", platform.to_string())
        .env("BLUEBELLGAP_OPERATOR", operator)
        .env("BLUEBELLGAP_KEY", key)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!(
        "{operator}$ bluebellgap {line}\n{stdout}{stderr}exit {}\n\n",
        output.status.code().unwrap_or(-1)
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn output_to_an_operator_matches_the_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("bundle.ini"), BUNDLE).unwrap();
    let dangling = BUNDLE.replace("service = scan-archive", "service = archive");
    std::fs::write(folder.path().join("dangling.ini"), dangling).unwrap();
    let server =
        PlatformServer::start("127.0.0.1:0".parse().unwrap(), MemoryPlatform::new()).unwrap();
    let commands = [
        ("alice", "keygen alice --out alice.key"),
        ("bob", "keygen bob --out bob.key"),
        ("alice", "keygen alice --out alice.key"),
        ("alice", "bundle check bundle.ini"),
        ("alice", "bundle push dangling.ini"),
        ("alice", "status"),
        ("alice", "bundle push bundle.ini"),
        ("bob", "bundle push bundle.ini"),
        ("alice", "approve 1 --no-watch"),
        ("bob", "approve 2 --no-watch"),
        ("bob", "status"),
        ("bob", "stop 1"),
        ("alice", "approve 1 --no-watch"),
        ("bob", "sign 2"),
        ("alice", "approve 2 --no-watch"),
        ("bob", "supersede --like 1 --no-watch"),
        ("alice", "status"),
        ("alice", "stop 9"),
        ("alice", "bundle push --base 7 bundle.ini"),
    ];
    let address = server.address();
    let session = tokio::task::spawn_blocking(move || {
        commands
            .map(|(operator, line)| run_command(folder.path(), address, operator, line))
            .concat()
    });
    let session = session.await.unwrap();
    let mut settings = insta::Settings::clone_current();
    settings.add_filter("[0-9a-f]{64}", "<hex>");
    settings.bind(|| insta::assert_snapshot!(session));
}

/// Formats a request and its answer without the parts that vary from run to run.
fn format_exchange(request: &str, answer: &Answer) -> String {
    let verdict = answer
        .verdict
        .map_or("-".to_owned(), |verdict| verdict.to_string());
    let reason = answer.reason.as_deref().unwrap_or("-");
    let replayed = if answer.replayed { " replayed" } else { "" };
    format!(
        "{request}\n  {} verdict {verdict} reason {reason}{replayed}\n",
        answer.status
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_to_a_caller_match_the_snapshot() {
    let mesh = Mesh::start(&Layout::new(1, 1, 2)).unwrap();
    let limit = Duration::from_secs(15);
    mesh.wait_for_members(limit).await.unwrap();
    let caller = mesh.caller(0);
    let mut session = format_exchange("GET /read before any version", &caller.get("/read").await);
    let version = mesh.roll_out(&sample_bundle(1)).await.unwrap();
    mesh.wait_until_in_force(version, limit).await.unwrap();
    session += &format_exchange("GET /read", &caller.get("/read").await);
    session += &format_exchange("GET /reading", &caller.get("/reading").await);
    session += &format_exchange("GET /book without a key", &caller.get("/book").await);
    session += &format_exchange(
        "POST /book key a",
        &caller.post("/book", "a", "unit 7").await,
    );
    session += &format_exchange(
        "POST /book key a again",
        &caller.post("/book", "a", "unit 7").await,
    );
    session += &format_exchange(
        "POST /book key a, other body",
        &caller.post("/book", "a", "unit 8").await,
    );
    let zero_deadline_caller =
        Caller::new(mesh.node(0).addresses().caller).deadline(Duration::ZERO);
    session += &format_exchange(
        "GET /read with no time left",
        &zero_deadline_caller.get("/read").await,
    );
    let large = vec![0; 5 * 1024 * 1024];
    session += &format_exchange(
        "POST /book of 5 MiB",
        &caller.post("/book", "b", large).await,
    );
    insta::assert_snapshot!(session);
}
