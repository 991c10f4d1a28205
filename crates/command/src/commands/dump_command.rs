//! Writes the whole state of a daemon.

use bpaf::Parser;
use serde_json::Value;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::operations::read_view;
use crate::output::CommandOutput;

/// Writes the whole state of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DumpCommand;

impl DumpCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        bpaf::pure(Self)
            .to_options()
            .descr("Writes the whole state of a daemon, always as JSON")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 dump")
            .command("dump")
    }

    #[expect(clippy::unused_self, reason = "every command runs alike")]
    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = read_view::<Value>(client, "/v1/dump");
        output.finish(outcome, |value| format!("{value:#}\n"))
    }
}
