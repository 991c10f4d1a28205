//! The handle of a server's threads.

use oxhttp::ListeningServer;

/// The handle of a server's threads, with the `Debug` that
/// [`StandinServer`](crate::serving::StandinServer) derives.
pub(super) struct ListeningThreads(pub(super) ListeningServer);

impl std::fmt::Debug for ListeningThreads {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ListeningThreads")
    }
}
