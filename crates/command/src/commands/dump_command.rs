//! Writes the whole state of a daemon.

use bpaf::Parser;
use serde_json::Value;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::bare_command;
use crate::operations::read_view;
use crate::output::CommandOutput;

/// Writes the whole state of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DumpCommand;

impl DumpCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        bare_command(
            Self,
            "dump",
            "Writes the whole state of a daemon, always as JSON",
            "Example: sapphirestile --daemon 10.0.1.4:7070 dump",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<Value>(client, "/v1/dump");
        output.finish(outcome, |value| format!("{value:#}\n"))
    }
}
