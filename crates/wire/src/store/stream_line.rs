//! The wrapper of lines in a streamed response.

use serde::Deserialize;
use serde::Serialize;

/// Wraps the message on each line of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLine<Response> {
    /// The message on the line.
    pub result: Response,
}
