//! The next step of a request.

use crate::console::ConsoleChange;
use crate::console::ConsolePage;

/// What the calling code has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleStep {
    /// Send this page.
    Page(ConsolePage),
    /// Write this change, then send the page of
    /// [`render_outcome`](crate::console::render_outcome).
    Change(Box<ConsoleChange>),
}
