//! The threads of a server.

use oxhttp::ListeningServer;

/// The threads of a server.
pub(super) struct ListeningThreads(pub(super) ListeningServer);

impl std::fmt::Debug for ListeningThreads {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ListeningThreads")
    }
}
