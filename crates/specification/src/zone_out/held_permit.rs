//! A permit as its holder has it.

/// A permit in the hands of the owner or in a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HeldPermit {
    /// The latest that the worker gave.
    Latest,
    /// Voided by a renewal.
    Void,
}
