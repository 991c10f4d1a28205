//! An output whose text a test can read.

use std::io::Result;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

/// Keeps what is written.
#[derive(Clone, Default)]
pub struct SharedOutput {
    text: Arc<Mutex<Vec<u8>>>,
}

impl SharedOutput {
    /// What has been written so far.
    pub fn text(&self) -> String {
        let text = self.text.lock().expect("no writer panics");
        String::from_utf8(text.clone()).expect("log lines are text")
    }
}

impl Write for SharedOutput {
    fn write(&mut self, buffer: &[u8]) -> Result<usize> {
        self.text.lock().expect("no writer panics").write(buffer)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}
