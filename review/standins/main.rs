//! Stand-ins of clients, instances and the platform, and the scripted cases that use them.
//!
//! `standins CASE FOLDER RECORD`, started in the repository root. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod http;
mod instance;
mod json;
mod node;
mod record;
mod relay;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(record)));
    record.line(&format!("case {case}, trouble: {trouble}"));
    let verdict = cases::run(case, Path::new(folder), &record, trouble);
    // All processes have ended; the list of their ids is for a script whose stand-ins ended early.
    let _ = std::fs::remove_file(Path::new(folder).join("pids"));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}, trouble {trouble}: {text}");
    ExitCode::from(code)
}
