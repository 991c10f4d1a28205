//! The HTTP method of a request.

/// The HTTP methods that the console accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsoleMethod {
    /// Renders a page.
    Get,
    /// Sends a form.
    Post,
}
