//! What operators see of a roll.

use bluebellgap::rollout::{Status, Tally};
use eyre::Result;

use crate::cli::Format;

/// Prints a status.
pub(crate) fn print(status: &Status, format: Format) -> Result<()> {
    match format {
        Format::Json => println!("{}", serde_json::to_string(status)?),
        Format::Text => print!("{}", text(status)),
    }
    Ok(())
}

/// A status for people: one line for the roll, one per data centre, then the exceptions.
pub(crate) fn text(status: &Status) -> String {
    let rollout = &status.rollout;
    let (current, heard) = status.in_force();
    let mut lines = vec![match &rollout.active {
        Some(active) => format!(
            "version {} in force on {current} of {heard} nodes",
            active.version
        ),
        None => "no version in force".to_owned(),
    }];
    if let Some(candidate) = &rollout.candidate {
        let version = candidate.release.version;
        let ready: usize = status
            .reports
            .iter()
            .map(|r| r.tally.ready_for(version))
            .sum();
        let by = &candidate.approved_by;
        lines.push(format!(
            "version {version} by {by} rolling: ready on {ready} of {heard} nodes"
        ));
    }
    for report in &status.reports {
        lines.push(format!(
            "  {}: {}",
            report.data_center,
            versions(&report.tally)
        ));
        lines.extend(exceptions(&report.tally));
    }
    lines.join("\n") + "\n"
}

fn versions(tally: &Tally) -> String {
    let counts = tally.in_force.iter();
    let counts: Vec<String> = counts
        .map(|(version, n)| format!("{n} at version {version}"))
        .collect();
    counts.join(", ")
}

fn exceptions(tally: &Tally) -> Vec<String> {
    let mut lines = Vec::new();
    for refusal in &tally.refused_by {
        let version = refusal.version;
        lines.push(format!(
            "    {} refuses version {version}: {}",
            refusal.node, refusal.reason
        ));
    }
    if tally.awaiting_targets > 0 {
        lines.push(format!(
            "    {} wait for targets of a new service",
            tally.awaiting_targets
        ));
    }
    if tally.unheard > 0 {
        let names = tally.unheard_names.join(", ");
        lines.push(format!("    {} not heard from: {names}", tally.unheard));
    }
    lines
}
