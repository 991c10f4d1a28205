//! The parts of the console.

/// One part of the console, with a page of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsolePart {
    /// How the daemon is.
    Overview,
    /// The zones.
    Zones,
    /// The services.
    Services,
    /// The customers, their limits and priorities.
    Customers,
    /// The whole document.
    Document,
    /// What changed and by whom.
    Changes,
}

impl ConsolePart {
    /// Every part, in the order of the menu.
    pub const ALL: [Self; 6] = [
        Self::Overview,
        Self::Zones,
        Self::Services,
        Self::Customers,
        Self::Document,
        Self::Changes,
    ];

    /// The part at `path`.
    #[must_use]
    pub fn at(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.path() == path)
    }

    /// The path of the part.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Overview => "/console",
            Self::Zones => "/console/zones",
            Self::Services => "/console/services",
            Self::Customers => "/console/customers",
            Self::Document => "/console/document",
            Self::Changes => "/console/changes",
        }
    }

    /// The heading of the part.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::Overview => "Overview",
            Self::Zones => "Zones",
            Self::Services => "Services",
            Self::Customers => "Customers",
            Self::Document => "Document",
            Self::Changes => "Changes",
        }
    }
}
