//! What answers the calls of a stand-in.

use crate::serving::StandinCall;
use crate::serving::StandinReply;

/// Answers calls, each on the thread of its connection.
pub trait StandinService: Send + Sync + 'static {
    /// Answers one call; may wait.
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply;

    /// Takes note that no further call is answered. Waiting calls end.
    fn stop(&self) {}
}
