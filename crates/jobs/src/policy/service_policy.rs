//! One service.

/// A service whose workers run tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The name.
    pub name: Box<str>,
    /// Whether its workers refuse what does not fit.
    pub guards_room: bool,
}
