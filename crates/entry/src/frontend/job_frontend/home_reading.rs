//! What reading the home row of a job shows.

use crate::store::HomeRow;

/// What reading the home row of a job shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeReading {
    /// There is none.
    Missing,
    /// It is there, and this version cannot read it.
    Unreadable,
    /// It was read.
    Found {
        /// What the row says.
        home: HomeRow,
        /// Its revision.
        revision: u64,
    },
}
