//! The command `dump`.

use bpaf::Parser;
use serde_json::Value;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;

/// Writes the complete state of a daemon as JSON, also without `--json`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DumpCommand;

impl DumpCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "dump",
            "Writes the complete state of a daemon, always as JSON",
            "Example: sapphirestile --daemon 10.0.1.4:7070 dump",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<Value>(client, "/v1/dump");
        output.write_outcome(outcome, |value| format!("{value:#}\n"))
    }
}
