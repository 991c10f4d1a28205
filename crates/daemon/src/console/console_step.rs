//! What to do with a request.

use crate::console::ConsoleChange;
use crate::console::ConsolePage;

/// What the caller has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleStep {
    /// Send this page.
    Page(ConsolePage),
    /// Write this change, then ask [`answer_change`](crate::console::answer_change).
    Change(Box<ConsoleChange>),
}
