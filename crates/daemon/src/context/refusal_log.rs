//! The latest requests that were not answered.

use crossbeam::queue::ArrayQueue;

use crate::callers::CallerRefusal;
use crate::context::RefusalNote;
use sapphirestile_core::MonoTime;

const NOTES_MAX: usize = 64;
const PATH_MAX_CHARS: usize = 128;

/// The latest requests that were not answered, without a lock on their path.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::callers::CallerReply;
/// use sapphirestile_daemon::context::RefusalLog;
///
/// let log = RefusalLog::default();
/// let refusal = CallerReply::TooLarge.into_answer().unwrap_err();
/// log.note(MonoTime::from_millis(7), "/sizing/fit", refusal);
/// let notes = log.notes();
/// assert_eq!(notes[0].path, "/sizing/fit");
/// assert_eq!(notes[0].refusal.status, 413);
/// assert_eq!(log.notes(), notes);
/// ```
#[derive(Debug)]
pub struct RefusalLog {
    notes: ArrayQueue<RefusalNote>,
}

impl Default for RefusalLog {
    fn default() -> Self {
        Self {
            notes: ArrayQueue::new(NOTES_MAX),
        }
    }
}

impl RefusalLog {
    /// Notes a refusal; the earliest one makes room for it.
    pub fn note(&self, at: MonoTime, path: &str, refusal: CallerRefusal) {
        let path = path.chars().take(PATH_MAX_CHARS).collect();
        self.notes.force_push(RefusalNote { at, path, refusal });
    }

    /// The notes, the earliest first. They are taken out and put back, so that one
    /// which comes meanwhile may be missing from another dump at the same time.
    #[must_use]
    pub fn notes(&self) -> Vec<RefusalNote> {
        let mut notes: Vec<RefusalNote> = std::iter::from_fn(|| self.notes.pop()).collect();
        notes.sort_by_key(|note| note.at);
        for note in &notes {
            self.notes.force_push(note.clone());
        }
        notes
    }
}
