//! One line of a streamed answer.

use serde::Deserialize;
use serde::Serialize;

/// Wraps each line of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLine<Answer> {
    /// What the line says.
    pub result: Answer,
}
