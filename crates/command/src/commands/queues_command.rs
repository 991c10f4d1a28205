//! The command `queues`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::QueueStatus;

/// Shows the task counts of each cell that the daemon owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuesCommand;

impl QueuesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "queues",
            "Shows the task queues of the cells that the daemon owns",
            "Example: sapphirestile --daemon 10.0.1.4:7070 queues",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.queues);
        output.write_outcome(outcome, |queues| queues_text(queues))
    }
}

fn queues_text(queues: &[QueueStatus]) -> String {
    let headers = ["CELL", "WAITING", "RUNNING", "THROTTLED"];
    let table = TextTable::from_entries(&headers, queues, |entry| {
        vec![
            entry.cell.to_string(),
            entry.waiting.to_string(),
            entry.running.to_string(),
            entry.throttled.to_string(),
        ]
    });
    table.to_string()
}
