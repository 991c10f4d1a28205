//! The outcome of a download.

use crate::http::HttpResponse;

/// The outcome of a [`download`](crate::http::HttpClient::download) that the peer
/// answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadOutcome {
    /// The whole response arrived.
    Complete(HttpResponse),
    /// The body of the response exceeds the size limit and was not read.
    TooLarge,
}
