//! Request handler of an HTTP port.

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::HttpReply;

/// Request handler of an HTTP port, called on one thread per connection.
pub trait HttpService: Send + Sync + 'static {
    /// Answers a request, whose body has not been read yet.
    fn answer(&self, request: &mut Request<Body>) -> HttpReply;

    /// Answers a request that arrived after the gate was closed.
    fn refuse(&self) -> HttpReply;
}
