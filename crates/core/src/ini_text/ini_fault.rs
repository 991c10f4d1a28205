//! One fault of an INI text.

/// Where an INI text is wrong, its value, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniFault {
    /// The section, as written in its brackets.
    pub section: String,
    /// The key, or nothing when the section itself is wrong.
    pub key: String,
    /// The value as written, or nothing when it is missing.
    pub value: String,
    /// What would be right.
    pub expected: String,
}

impl std::fmt::Display for IniFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let section = &self.section;
        let key = &self.key;
        match (section.is_empty(), key.is_empty()) {
            (true, false) => write!(formatter, "{key} {:?}", self.value)?,
            (_, true) => write!(formatter, "[{section}]")?,
            (false, false) => write!(formatter, "[{section}] {key} = {:?}", self.value)?,
        }
        write!(formatter, ": expected {}", self.expected)
    }
}

impl std::error::Error for IniFault {}
