//! The method of a request.

/// The method of a request to the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsoleMethod {
    /// Shows something.
    Get,
    /// Changes something.
    Post,
}
