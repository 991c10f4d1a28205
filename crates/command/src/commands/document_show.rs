//! Shows the document in force.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::bare_command;
use crate::operations::read_view;
use crate::output::CommandOutput;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::UnixTime;

/// What the first line of a shown document begins with; its revision follows.
pub(super) const REVISION_LINE: &str = "; revision ";

/// Shows the document in force, below a line with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentShow;

impl DocumentShow {
    pub(crate) fn parser() -> impl Parser<Self> {
        bare_command(
            Self,
            "show",
            "Shows the document in force, below a line with its revision for `apply`",
            "Example: sapphirestile --daemon 10.0.1.4:7070 document show > coast.ini",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DocumentView>(client, "/v1/document");
        if let Ok(view) = &outcome
            && view.revision.get() > 0
        {
            let changed = UnixTime::new(view.changed_unix_ms);
            output.progress(&format!("changed by {} at {changed}", view.author));
        }
        output.finish(outcome, |view| {
            format!("{REVISION_LINE}{}\n{}", view.revision, view.text)
        })
    }
}
