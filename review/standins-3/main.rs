//! Stand-ins of the third review: store, instances and clients around the project's own programs.
//!
//! `standins-3 CASE FOLDER`: plays a case and writes `record.txt` into the folder. Exit codes: 0 the
//! rule held, 1 it was broken, 2 the case could not run. `TROUBLE=0` leaves the disruption out.

mod clients;
mod forgotten;
mod http;
mod instance;
mod json;
mod node;
mod returned;
mod store;

use std::fmt::Write as _;
use std::path::PathBuf;

/// What a case writes into its record.
#[derive(Default)]
pub struct Record(String);

impl Record {
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.0, "{text}");
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("bluebellgap-review-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let mut record = Record::default();
    let broken = match case.as_str() {
        "returned" => returned::play(&scratch, trouble, &mut record),
        "forgotten" => forgotten::play(&scratch, trouble, &mut record),
        _ => None,
    };
    let (code, word) = match broken {
        Some(true) => (1, "broken"),
        Some(false) => (0, "held"),
        None => (2, "could not run"),
    };
    record.line(&format!("result: the rule {word}"));
    let _ = std::fs::write(folder.join("record.txt"), &record.0);
    let _ = std::fs::remove_dir_all(&scratch);
    std::process::exit(code);
}
