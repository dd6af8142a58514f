//! `bluebellgap sidecar`.

use std::path::Path;
use std::time::Duration;

use bluebellgap::Sidecar;
use bluebellgap::sidecar::Settings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Time for the last log lines to be written before the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Runs a sidecar until SIGTERM or SIGINT, then leaves gracefully.
pub(crate) async fn run(file: &Path) -> Result<()> {
    // Before the first listener opens, so that no signal ends a node that serves.
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

/// Takes changed settings; faulty ones change nothing.
fn reload(file: &Path, text: &mut String, node: &mut Sidecar) {
    let changed = match read_text(file) {
        Ok(changed) => changed,
        Err(error) => {
            log::warn!(event = "settings_unreadable"; "{error:#}");
            return;
        }
    };
    if changed == *text {
        return;
    }
    match parse(file, &changed) {
        Ok(settings) => node.reload(settings),
        Err(error) => log::warn!(event = "settings_rejected"; "{error:#}"),
    }
    *text = changed;
}

/// Checks a settings file.
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

fn read_text(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())
}

fn parse(file: &Path, text: &str) -> Result<Settings> {
    Settings::read(text).wrap_err_with(|| file.display().to_string())
}
