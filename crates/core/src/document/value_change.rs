//! A value that differs between two documents.

/// A key whose value differs between two INI texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueChange {
    /// The section header without its brackets, such as `zone hki`.
    pub section: String,
    /// The key within the section.
    pub key: String,
    /// The old value; `None` when the key was added.
    pub before: Option<String>,
    /// The new value; `None` when the key was removed.
    pub after: Option<String>,
}

impl std::fmt::Display for ValueChange {
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
