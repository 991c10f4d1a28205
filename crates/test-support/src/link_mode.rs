//! What a link does with what it is given.

use std::time::Duration;

/// What a link does with what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes everything on.
    #[default]
    Open,
    /// It breaks every connection off, and takes no new one.
    Cut,
    /// It takes connections, passes requests on and holds answers back.
    AnswersHeld,
    /// It takes connections and holds everything back, without a word.
    Silent,
    /// It passes everything on, each piece so much later.
    Slow(Duration),
}
