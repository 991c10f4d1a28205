//! A fault in an INI text.

/// A fault in an INI text: where it is, the value found and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniFault {
    /// The section header without its brackets; empty for a fault of a line or of the
    /// whole text.
    pub section: String,
    /// The key or the line, such as `line 2`; empty when the section itself is at fault.
    pub key: String,
    /// The value as written; empty when it is missing.
    pub value: String,
    /// What was expected instead.
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
