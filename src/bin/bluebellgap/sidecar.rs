//! `bluebellgap sidecar`, `bluebellgap explain` and `bluebellgap settings check-sidecar`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bluebellgap::Sidecar;
use bluebellgap::explain::{self, Question};
use bluebellgap::sidecar::Settings;
use eyre::{OptionExt, Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

/// Environment variable with further sections of the settings, in the format of the file. Starters that
/// fill in only the file leave out what is optional, instead of a file that they cannot complete.
const FURTHER_SETTINGS: &str = "BLUEBELLGAP_FURTHER_SETTINGS";
/// Interval of checks for changes of the settings file, which need not come with a SIGHUP.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Time for the last log lines to be written before the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Runs a sidecar until SIGTERM or SIGINT, then shuts it down gracefully.
pub(crate) async fn run(file: &Path) -> Result<()> {
    // Installed before the first listener opens, so that no signal kills a node that serves.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut text = read_text(file)?;
    let mut node = Sidecar::start(parse(file, &text)?)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_PERIOD) => {}
        }
        reload(file, &mut text, &mut node);
    }
    node.leave().await;
    bluebellgap::telemetry::logger::flush(FLUSH_LIMIT);
    Ok(())
}

/// Applies the settings file if it changed. Unreadable or invalid settings are logged, and those in
/// use are kept.
fn reload(file: &Path, text: &mut String, node: &mut Sidecar) {
    let changed = match read_text(file) {
        Ok(changed) => changed,
        Err(error) => {
            log::warn!(
                event = "settings_unreadable";
                "cannot read the settings file, keeping the current settings: {error:#}"
            );
            return;
        }
    };
    if changed == *text {
        return;
    }
    match parse(file, &changed) {
        Ok(settings) => node.reload(settings),
        Err(error) => log::warn!(
            event = "settings_rejected";
            "the changed settings are invalid, keeping the current settings: {error:#}"
        ),
    }
    *text = changed;
}

/// Validates a sidecar's settings file and prints a summary.
pub(crate) fn check(file: &Path) -> Result<()> {
    let settings = parse(file, &read_text(file)?)?;
    println!(
        "{}: sidecar {} in {}",
        file.display(),
        settings.node,
        settings.data_center
    );
    Ok(())
}

/// Reads the settings file, and appends the sections of [`FURTHER_SETTINGS`].
fn read_text(file: &Path) -> Result<String> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let further = std::env::var(FURTHER_SETTINGS).unwrap_or_default();
    Ok(format!("{text}\n{further}\n"))
}

fn parse(file: &Path, text: &str) -> Result<Settings> {
    Settings::read(text).wrap_err_with(|| file.display().to_string())
}

/// Asks a sidecar where it would send a request, and prints the answer.
pub(crate) async fn explain(node: SocketAddr, question: &Question, json: bool) -> Result<()> {
    let explanation = explain::ask(node, question).await?;
    if json {
        println!("{}", serde_json::to_string(&explanation)?);
    } else {
        print!("{explanation}");
    }
    Ok(())
}

/// Splits header lines at their colons.
pub(crate) fn headers(lines: &[String]) -> Result<Vec<(String, String)>> {
    let split = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers: Option<Vec<_>> = lines.iter().map(split).collect();
    headers.ok_or_eyre("a header must be 'name: value'")
}
