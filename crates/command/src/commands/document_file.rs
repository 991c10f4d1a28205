//! A document in a file.

use sapphirestile_core::ConfigRevision;

use crate::commands::document_show::REVISION_LINE;

/// The text of a file, and the revision that its first line names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DocumentFile {
    pub(super) based_on: Option<ConfigRevision>,
    pub(super) text: String,
}

impl DocumentFile {
    /// Reads a file, and says why it cannot be read.
    pub(super) fn read(path: &str) -> Result<Self, String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self::from(text.as_str())),
            Err(error) => Err(format!("file {path} cannot be read: {error}")),
        }
    }
}

impl From<&str> for DocumentFile {
    fn from(text: &str) -> Self {
        let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
        let number = first.trim().strip_prefix(REVISION_LINE);
        match number.and_then(|number| number.parse::<u64>().ok()) {
            Some(number) => Self {
                based_on: Some(ConfigRevision::new(number)),
                text: rest.to_owned(),
            },
            None => Self {
                based_on: None,
                text: text.to_owned(),
            },
        }
    }
}
