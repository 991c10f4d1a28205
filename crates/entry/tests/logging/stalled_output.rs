//! Output that blocks writers.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

#[derive(Default)]
struct OutputState {
    text: String,
    is_stalled: bool,
    is_released: bool,
}

/// An output whose writer blocks until `release` is called.
#[derive(Clone, Default)]
pub struct StalledOutput {
    state: Arc<(Mutex<OutputState>, Condvar)>,
}

impl StalledOutput {
    pub fn wait_until_stalled(&self) {
        let (state, changed) = &*self.state;
        let guard = state.lock().unwrap();
        drop(
            changed
                .wait_while(guard, |state| !state.is_stalled)
                .unwrap(),
        );
    }

    pub fn release(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_released = true;
        changed.notify_all();
    }

    pub fn text(&self) -> String {
        self.state.0.lock().unwrap().text.clone()
    }
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (state, changed) = &*self.state;
        let mut guard = state.lock().unwrap();
        guard.is_stalled = true;
        changed.notify_all();
        let mut guard = changed
            .wait_while(guard, |state| !state.is_released)
            .unwrap();
        guard.text.push_str(std::str::from_utf8(bytes).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
