//! What was sent, answered and run, in memory and in the record file.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// One request that an instance began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_s: f64,
    pub instance: String,
    pub service: String,
    pub request_id: String,
    pub path: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("a writable record file")),
            runs: Mutex::default(),
        }
    }

    /// Seconds since the start of the script.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic under the lock");
        let _ = writeln!(file, "{:8.3} {text}", self.now_s());
    }

    pub fn run(&self, instance: &str, service: &str, request_id: &str, path: &str) {
        self.line(&format!(
            "RUN {request_id} {path} at {instance} ({service})"
        ));
        let run = Run {
            at_s: self.now_s(),
            instance: instance.to_owned(),
            service: service.to_owned(),
            request_id: request_id.to_owned(),
            path: path.to_owned(),
        };
        self.runs.lock().expect("no panic under the lock").push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic under the lock").clone()
    }
}
