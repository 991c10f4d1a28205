//! A permit held by the owner.

/// A permit that the owner holds or that a message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HeldPermit {
    /// The latest permit that the worker granted.
    Latest,
    /// An earlier permit, which the worker rejects because it granted a newer one.
    Void,
}
