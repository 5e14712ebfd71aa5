//! What was sent, answered and run, with the time since the start in milliseconds.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Self { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let millis = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("record");
        let _written = writeln!(file, "{millis:>6} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _flushed = self.file.lock().expect("record").flush();
    }
}
