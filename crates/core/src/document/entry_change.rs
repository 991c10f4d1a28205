//! One entry that differs between two documents.

/// A key whose value differs between two texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryChange {
    /// The section, as written in its brackets.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value before, if there was one.
    pub before: Option<String>,
    /// The value after, if there is one.
    pub after: Option<String>,
}

impl std::fmt::Display for EntryChange {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "[{}] {}: ", self.section, self.key)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "{before} -> {after}"),
            (Some(before), None) => write!(formatter, "{before} removed"),
            (None, Some(after)) => write!(formatter, "{after} added"),
            (None, None) => formatter.write_str("unchanged"),
        }
    }
}
