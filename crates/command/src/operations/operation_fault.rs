//! What was not done, and why.

use serde::Serialize;

use crate::ExitKind;
use crate::output::printable;
use sapphirestile_core::DocumentDifference;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::EntryFault;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::UnixTime;

/// Why an operation did not end well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OperationFault {
    /// Refused for what was asked; nothing was done.
    Refused {
        /// Why.
        reason: String,
    },
    /// Another change of the document was first; nothing was done.
    Conflict {
        /// The text that was not written, if a whole one was asked for.
        text: Option<String>,
        /// What is in force.
        conflict: DocumentConflict,
    },
    /// The name belongs to another submission; nothing was done.
    NameTaken {
        /// The submission that has the name.
        current: JobSubmission,
    },
    /// The document is not valid; nothing was done.
    Faults {
        /// Every fault.
        faults: Vec<EntryFault>,
    },
    /// Not run for a reason that may pass; nothing was done.
    NotRun {
        /// Why.
        reason: String,
    },
    /// It may or may not have been done.
    Unknown {
        /// What is known.
        reason: String,
    },
    /// No daemon answered; nothing was changed.
    Unreachable,
}

impl OperationFault {
    /// The exit code of the fault.
    #[must_use]
    pub const fn exit(&self) -> ExitKind {
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

impl std::fmt::Display for OperationFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused { reason } => write!(formatter, "refused: {}", printable(reason)),
            Self::Conflict { text, conflict } => {
                show_conflict(formatter, text.as_deref(), conflict)
            }
            Self::NameTaken { current } => write!(
                formatter,
                "refused: job {} was submitted before, by customer {}, with another content",
                current.job, current.customer
            ),
            Self::Faults { faults } => show_faults(formatter, faults),
            Self::NotRun { reason } => write!(formatter, "not run: {}", printable(reason)),
            Self::Unknown { reason } => write!(formatter, "unknown outcome: {}", printable(reason)),
            Self::Unreachable => formatter.write_str("unreachable: nothing was changed"),
        }
    }
}

impl std::error::Error for OperationFault {}

fn show_conflict(
    formatter: &mut std::fmt::Formatter<'_>,
    text: Option<&str>,
    conflict: &DocumentConflict,
) -> std::fmt::Result {
    let current = &conflict.current;
    let changed = UnixTime::new(current.changed_unix_ms);
    write!(
        formatter,
        "refused: based on revision {}, but revision {} by {} of {changed} is in force",
        conflict.based_on,
        current.revision,
        printable(&current.author)
    )?;
    let Some(text) = text else {
        return Ok(());
    };
    write!(formatter, "\nfrom revision {} to yours:", current.revision)?;
    let difference = DocumentDifference::between(&current.text, text);
    for line in difference.lines() {
        write!(formatter, "\n  {line}")?;
    }
    Ok(())
}

fn show_faults(formatter: &mut std::fmt::Formatter<'_>, faults: &[EntryFault]) -> std::fmt::Result {
    let count = faults.len();
    let plural = if count == 1 { "" } else { "s" };
    write!(formatter, "refused: {count} fault{plural}")?;
    for fault in faults {
        write!(formatter, "\n  {fault}")?;
    }
    Ok(())
}
