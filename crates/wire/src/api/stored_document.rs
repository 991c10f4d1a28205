//! The operators' document as a row of the store.

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use crate::api::DocumentChange;
use crate::api::DocumentView;
use crate::api::RecordedChange;
use crate::api::WriteStatus;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::StepError;

/// The number of recent changes that the row keeps.
pub const RECENT_CHANGES_MAX: usize = 20;
const CHANGE_LINES_MAX: usize = 20;
const LINE_CHARACTERS_MAX: usize = 200;

/// The value of the store row that holds the operators' document, as JSON.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ConfigRevision;
/// use sapphirestile_wire::api::AuthorName;
/// use sapphirestile_wire::api::DocumentChange;
/// use sapphirestile_wire::api::StoredDocument;
///
/// let author = AuthorName::try_from("maija").unwrap();
/// let text = "[region r]\nlink_mbit = 1\n".to_owned();
/// let based_on = ConfigRevision::new(0);
/// let change = DocumentChange { based_on, text, author, dry_run: false };
/// let document = StoredDocument::successor(None, &change, 1_000);
/// let bytes = document.to_bytes();
/// assert_eq!(StoredDocument::try_from(bytes.as_slice()).unwrap(), document);
/// assert_eq!(document.recent[0].lines, ["[region r] link_mbit: 1 added"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The author of this revision.
    pub author: AuthorName,
    /// When this revision was written, in milliseconds since 1970 UTC.
    pub changed_unix_ms: u64,
    /// The INI text.
    pub text: String,
    /// The latest changes, newest first, starting with the one that wrote this revision.
    #[serde(default)]
    pub recent: Vec<RecordedChange>,
}

impl StoredDocument {
    /// Returns the row that replaces `current` when `change` is made at `now_unix_ms`.
    #[must_use]
    pub fn successor(current: Option<&Self>, change: &DocumentChange, now_unix_ms: u64) -> Self {
        let old_text = current.map_or("", |document| &document.text);
        let newest = RecordedChange {
            replaced: change.based_on,
            author: change.author.clone(),
            changed_unix_ms: now_unix_ms,
            lines: change_lines(old_text, &change.text),
        };
        let earlier = current.map_or(&[][..], |document| &document.recent);
        let recent = std::iter::once(newest)
            .chain(earlier.iter().cloned())
            .take(RECENT_CHANGES_MAX)
            .collect();
        Self {
            author: change.author.clone(),
            changed_unix_ms: now_unix_ms,
            text: change.text.clone(),
            recent,
        }
    }

    /// Determines whether `write` took effect, given that this row was read from the store
    /// at `revision`.
    ///
    /// Each write is conditional on the revision that it replaces, so at most one write
    /// replaces a given revision.
    #[must_use]
    pub fn write_status(&self, write: &Self, revision: ConfigRevision) -> WriteStatus {
        let Some(change) = write.recent.first() else {
            return WriteStatus::Unknown;
        };
        let mut written_at = revision;
        for recent in &self.recent {
            if recent.replaced == change.replaced {
                return if recent == change {
                    WriteStatus::Written(written_at)
                } else {
                    WriteStatus::Conflict
                };
            }
            written_at = recent.replaced;
        }
        WriteStatus::Unknown
    }

    /// Encodes the row as a value for the store.
    ///
    /// # Panics
    ///
    /// Never: strings and numbers can always be encoded.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers can always be encoded")
    }

    /// Returns the part of the row that operators see; `revision` is that of its last write.
    #[must_use]
    pub fn view(&self, revision: ConfigRevision) -> DocumentView {
        DocumentView {
            revision,
            text: self.text.clone(),
            author: self.author.to_string(),
            changed_unix_ms: self.changed_unix_ms,
        }
    }
}

impl TryFrom<&[u8]> for StoredDocument {
    type Error = Report<StepError>;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        serde_json::from_slice(bytes).change_context(StepError::new("decode document", "store"))
    }
}

fn change_lines(before: &str, after: &str) -> Vec<String> {
    let mut lines = DocumentDifference::between(before, after).lines();
    let omitted = lines.len().saturating_sub(CHANGE_LINES_MAX);
    lines.truncate(CHANGE_LINES_MAX);
    for line in &mut lines {
        *line = line.chars().take(LINE_CHARACTERS_MAX).collect();
    }
    if omitted > 0 {
        lines.push(format!("and {omitted} more"));
    }
    lines
}
