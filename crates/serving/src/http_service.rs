//! What an HTTP port serves.

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::HttpReply;

/// Answers requests of one port.
pub trait HttpService: Send + Sync + 'static {
    /// Answers a request, whose body is still to be read.
    fn answer(&self, request: &mut Request<Body>) -> HttpReply;

    /// The answer to a request that came after the gate was closed.
    fn refuse(&self) -> HttpReply;
}
