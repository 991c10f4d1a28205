//! The latest requests that were not answered.

use std::sync::Arc;

use crate::callers::CallerRefusal;
use crate::context::RcuValue;
use crate::context::RefusalNote;
use sapphirestile_core::MonoTime;

const NOTES_MAX: usize = 64;
const PATH_MAX_CHARS: usize = 128;

/// The latest requests that were not answered. Dumps never wait; refusals take turns.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::callers::CallerReply;
/// use sapphirestile_daemon::context::RefusalLog;
///
/// let log = RefusalLog::default();
/// let refusal = CallerReply::TooLarge.into_response().unwrap_err();
/// log.note(MonoTime::from_millis(7), "/sizing/fit", refusal);
/// let notes = log.notes();
/// assert_eq!(notes[0].path, "/sizing/fit");
/// assert_eq!(notes[0].refusal.status, 413);
/// assert_eq!(log.notes(), notes);
/// ```
#[derive(Debug)]
pub struct RefusalLog {
    /// The earliest first.
    notes: RcuValue<Vec<Arc<RefusalNote>>>,
}

impl Default for RefusalLog {
    fn default() -> Self {
        Self {
            notes: RcuValue::new(Vec::new()),
        }
    }
}

impl RefusalLog {
    /// Notes a refusal; the earliest one makes room for it.
    pub fn note(&self, at: MonoTime, path: &str, refusal: CallerRefusal) {
        let path = path.chars().take(PATH_MAX_CHARS).collect();
        let note = Arc::new(RefusalNote { at, path, refusal });
        self.notes.update(|notes| {
            let first = (notes.len() + 1).saturating_sub(NOTES_MAX);
            let kept = notes[first..].iter().chain(std::iter::once(&note));
            kept.cloned().collect::<Vec<_>>()
        });
    }

    /// The notes, the earliest first.
    #[must_use]
    pub fn notes(&self) -> Vec<RefusalNote> {
        let notes = self.notes.load();
        notes.iter().map(|note| note.as_ref().clone()).collect()
    }
}
