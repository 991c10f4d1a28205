//! An output that nobody reads.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

#[derive(Default)]
struct OutputState {
    text: String,
    is_stalled: bool,
    is_let_go: bool,
}

/// An output whose writer stands still until it is let go.
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

    pub fn let_go(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_let_go = true;
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
        let mut guard = changed.wait_while(guard, |state| !state.is_let_go).unwrap();
        guard.text.push_str(std::str::from_utf8(bytes).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
