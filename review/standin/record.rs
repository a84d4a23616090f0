//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Result<Record, String> {
        let file = File::create(path).map_err(|e| format!("can't write {path}: {e}"))?;
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line and returns its time.
    pub fn write(&self, text: &str) -> Duration {
        let at = self.now();
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{:8.3} s  {text}", at.as_secs_f64()).expect("the record can be written");
        at
    }
}
