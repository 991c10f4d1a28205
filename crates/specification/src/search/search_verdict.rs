//! Whether the properties of a model hold.

/// The verdict of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchVerdict {
    /// Every property holds in every reachable state, and each heals.
    Holds,
    /// A reachable state breaks a property.
    Broken {
        /// The property.
        property: &'static str,
        /// The actions of a shortest path to that state.
        trace: Vec<String>,
    },
    /// No path without faults leads from a reachable state to a healed one.
    Stuck {
        /// The actions of a shortest path to that state.
        trace: Vec<String>,
    },
}

impl SearchVerdict {
    /// The name of the broken property; `heals` when a state cannot heal.
    #[must_use]
    pub const fn broken_property(&self) -> Option<&'static str> {
        match self {
            Self::Holds => None,
            Self::Broken { property, .. } => Some(property),
            Self::Stuck { .. } => Some("heals"),
        }
    }
}
