//! The parts of the console.

/// A part of the console, with its own page and entry in the menu.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsolePart {
    /// The status of the daemon.
    Overview,
    /// The zones and their states.
    Zones,
    /// The services and their slots.
    Services,
    /// The customers, their limits and priorities.
    Customers,
    /// The whole text of the document.
    Document,
    /// The latest changes with their authors.
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

    /// The part at `path`; `None` if no part has this path.
    #[must_use]
    pub fn at(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.path() == path)
    }

    /// The path of the page and of its forms.
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

    /// The heading of the page and its entry in the menu.
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
