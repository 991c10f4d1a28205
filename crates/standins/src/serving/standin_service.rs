//! The request handler of a stand-in.

use crate::serving::StandinRequest;
use crate::serving::StandinResponse;

/// Handles the requests of a server, each on the thread of its connection.
pub trait StandinService: Send + Sync + 'static {
    /// Handles one request. May block, which delays only its own connection.
    fn respond(&self, request: &StandinRequest<'_>) -> StandinResponse;

    /// Called when the server shuts down: requests that are blocked in [`Self::respond`]
    /// should return. No response is sent to later requests.
    fn stop(&self) {}
}
