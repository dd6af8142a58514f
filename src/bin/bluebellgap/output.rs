//! Prints the status of a rollout.

use bluebellgap::rollout::{Status, Tally};
use eyre::Result;

use crate::cli::Format;

/// Prints `status` to standard output.
pub(crate) fn print(status: &Status, format: Format) -> Result<()> {
    match format {
        Format::Json => println!("{}", serde_json::to_string(status)?),
        Format::Text => print!("{}", text(status)),
    }
    Ok(())
}

/// Formats `status` as text: the version in force, the rollout in progress if any, and for each
/// data centre its nodes by version, refusals, and nodes that did not answer.
pub(crate) fn text(status: &Status) -> String {
    let rollout = &status.rollout;
    let (up_to_date, reporting) = status.in_force();
    let mut lines = vec![match &rollout.active {
        Some(active) => format!(
            "version {} in force on {up_to_date} of {reporting} nodes",
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
        let operator = &candidate.approved_by;
        lines.push(format!(
            "version {version} by {operator} rolling: ready on {ready} of {reporting} nodes"
        ));
    }
    for report in &status.reports {
        lines.push(format!(
            "  {}: {}",
            report.data_center,
            nodes_by_version(&report.tally)
        ));
        lines.extend(problems(&report.tally));
    }
    lines.join("\n") + "\n"
}

fn nodes_by_version(tally: &Tally) -> String {
    let counts = tally.in_force.iter();
    let counts: Vec<String> = counts
        .map(|(version, nodes)| format!("{nodes} at version {version}"))
        .collect();
    counts.join(", ")
}

/// Formats refusals, nodes that wait for targets, and nodes that did not answer.
fn problems(tally: &Tally) -> Vec<String> {
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
