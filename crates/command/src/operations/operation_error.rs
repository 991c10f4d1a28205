//! Errors of operations.

use serde::Serialize;

use crate::ExitKind;
use crate::output::escape_control_characters;
use sapphirestile_core::DocumentDifference;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::EntryFault;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::UnixTime;

/// An operation that failed or whose outcome is unknown.
///
/// `--json` writes it as an object; its `outcome` is the name of the variant in snake
/// case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OperationError {
    /// The request was refused because of what it asks for; nothing was done.
    Refused {
        /// The reason that the daemon gave.
        reason: String,
    },
    /// The document was changed since the revision that this change is based on; nothing
    /// was done.
    Conflict {
        /// The text that was not written; `None` for a change of a zone's state.
        text: Option<String>,
        /// The active document, and the revision that the change was based on.
        conflict: DocumentConflict,
    },
    /// Another job has the name; nothing was done.
    NameTaken {
        /// The submission of the job that has the name.
        current: JobSubmission,
    },
    /// The document is invalid; nothing was done.
    Faults {
        /// Every invalid entry of the document.
        faults: Vec<EntryFault>,
    },
    /// The request was not run for a temporary reason; nothing was done.
    NotRun {
        /// The reason that the daemon gave.
        reason: String,
    },
    /// The request may or may not have been carried out.
    Unknown {
        /// Why the outcome is unknown, and what is known.
        reason: String,
    },
    /// No daemon gave a valid response; nothing was changed.
    Unreachable,
}

impl OperationError {
    /// The exit code for this error.
    #[must_use]
    pub const fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Refused { .. }
            | Self::Conflict { .. }
            | Self::NameTaken { .. }
            | Self::Faults { .. } => ExitKind::Refused,
            Self::NotRun { .. } => ExitKind::NotRun,
            Self::Unknown { .. } => ExitKind::Unknown,
            Self::Unreachable => ExitKind::Unreachable,
        }
    }
}

impl std::fmt::Display for OperationError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused { reason } => {
                write!(formatter, "refused: {}", escape_control_characters(reason))
            }
            Self::Conflict { text, conflict } => fmt_conflict(formatter, text.as_deref(), conflict),
            Self::NameTaken { current } => write!(
                formatter,
                "refused: job {} already exists, submitted by customer {} with different content",
                current.job, current.customer
            ),
            Self::Faults { faults } => fmt_faults(formatter, faults),
            Self::NotRun { reason } => {
                write!(formatter, "not run: {}", escape_control_characters(reason))
            }
            Self::Unknown { reason } => write!(
                formatter,
                "unknown outcome: {}",
                escape_control_characters(reason)
            ),
            Self::Unreachable => formatter
                .write_str("unreachable: no daemon gave a valid response; nothing was changed"),
        }
    }
}

impl std::error::Error for OperationError {}

fn fmt_conflict(
    formatter: &mut std::fmt::Formatter<'_>,
    text: Option<&str>,
    conflict: &DocumentConflict,
) -> std::fmt::Result {
    let current = &conflict.current;
    let changed = UnixTime::new(current.changed_unix_ms);
    write!(
        formatter,
        "refused: based on revision {}, but the active revision is {}, written by {} at {changed}",
        conflict.based_on,
        current.revision,
        escape_control_characters(&current.author)
    )?;
    let Some(text) = text else {
        return Ok(());
    };
    write!(
        formatter,
        "\nchanges from revision {} to yours:",
        current.revision
    )?;
    let difference = DocumentDifference::between(&current.text, text);
    for line in difference.lines() {
        write!(formatter, "\n  {line}")?;
    }
    Ok(())
}

fn fmt_faults(formatter: &mut std::fmt::Formatter<'_>, faults: &[EntryFault]) -> std::fmt::Result {
    let count = faults.len();
    let plural = if count == 1 { "" } else { "s" };
    write!(formatter, "refused: {count} fault{plural}")?;
    for fault in faults {
        write!(formatter, "\n  {fault}")?;
    }
    Ok(())
}
