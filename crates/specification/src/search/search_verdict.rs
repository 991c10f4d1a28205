//! Verdict of a search.

/// Whether the properties of a model hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchVerdict {
    /// Every safety property holds in every reachable state, and so does liveness.
    Holds,
    /// A reachable state breaks a safety property.
    Broken {
        /// Name of the property.
        property: &'static str,
        /// Actions of a shortest path from the initial state to that state.
        trace: Vec<String>,
    },
    /// A reachable state must heal, but no path without faults leads from it to a healed
    /// state.
    Stuck {
        /// Actions of a shortest path from the initial state to that state.
        trace: Vec<String>,
    },
}

impl SearchVerdict {
    /// Name of the broken property, `heals` for liveness; `None` if all hold.
    #[must_use]
    pub const fn broken_property(&self) -> Option<&'static str> {
        match self {
            Self::Holds => None,
            Self::Broken { property, .. } => Some(property),
            Self::Stuck { .. } => Some("heals"),
        }
    }
}
