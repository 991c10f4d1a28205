//! Shows the queues of the daemon's cells.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::QueueStatus;

/// Shows the queues of the daemon's cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuesCommand;

impl QueuesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        bpaf::pure(Self)
            .to_options()
            .descr("Shows the queues of the daemon's cells")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 queues")
            .command("queues")
    }

    #[expect(clippy::unused_self, reason = "every command runs alike")]
    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.queues);
        output.finish(outcome, |queues| queues_text(queues))
    }
}

fn queues_text(queues: &[QueueStatus]) -> String {
    let mut table = TextTable::new(&["CELL", "WAITING", "RUNNING"]);
    for entry in queues {
        table.push([
            entry.cell.to_string(),
            entry.waiting.to_string(),
            entry.running.to_string(),
        ]);
    }
    table.to_string()
}
