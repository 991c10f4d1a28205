//! The command `document` and its subcommands.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::DocumentApply;
use crate::commands::DocumentDiff;
use crate::commands::DocumentShow;
use crate::output::CommandOutput;

/// A subcommand of `document`, which works on the operators' document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentCommand {
    /// `document show`: shows the active document.
    Show(DocumentShow),
    /// `document diff`: compares a file with the active document.
    Diff(DocumentDiff),
    /// `document apply`: replaces the document with a file.
    Apply(DocumentApply),
}

impl DocumentCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let show = DocumentShow::parser().map(Self::Show);
        let diff = DocumentDiff::parser().map(Self::Diff);
        let apply = DocumentApply::parser().map(Self::Apply);
        construct!([show, diff, apply])
            .to_options()
            .descr("Shows, compares and replaces the operators' document: zones, services, limits, priorities")
            .command("document")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        match self {
            Self::Show(DocumentShow) => DocumentShow::run(client, output),
            Self::Diff(command) => command.run(client, output),
            Self::Apply(command) => command.run(client, output),
        }
    }
}
