//! The command `document show`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::UnixTime;

/// The start of the first line of a shown document, before the number of its revision.
/// It begins with a `;`, so that an INI parser reads the line as a comment.
pub(super) const REVISION_PREFIX: &str = "; revision ";

/// Shows the active document, below a line with its revision that `document apply`
/// reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentShow;

impl DocumentShow {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "show",
            "Shows the active document, below a line with its revision that `apply` reads",
            "Example: sapphirestile --daemon 10.0.1.4:7070 document show > coast.ini",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DocumentView>(client, "/v1/document");
        if let Ok(view) = &outcome
            && view.revision.get() > 0
        {
            let changed = UnixTime::new(view.changed_unix_ms);
            output.write_progress(&format!("changed by {} at {changed}", view.author));
        }
        output.write_outcome(outcome, |view| {
            format!("{REVISION_PREFIX}{}\n{}", view.revision, view.text)
        })
    }
}
