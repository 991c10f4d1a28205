//! Document files.

use sapphirestile_core::ConfigRevision;

use crate::commands::document_show::REVISION_PREFIX;

/// A file as `document show` writes it: the revision in the first line, then the text
/// of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DocumentFile {
    /// The revision in the first line; `None` when the first line is not a revision line.
    pub(super) based_on: Option<ConfigRevision>,
    /// The text of the document, without the revision line.
    pub(super) text: String,
}

impl DocumentFile {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// A message with the path and the reason, when the file cannot be read or is not
    /// valid UTF-8.
    pub(super) fn read(path: &str) -> Result<Self, String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self::from(text.as_str())),
            Err(error) => Err(format!("cannot read file {path}: {error}")),
        }
    }
}

impl From<&str> for DocumentFile {
    fn from(text: &str) -> Self {
        let (first_line, rest) = text.split_once('\n').unwrap_or((text, ""));
        let number = first_line.trim().strip_prefix(REVISION_PREFIX);
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
