//! The command `services`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::ServiceStatus;

/// Shows the runners, tokens and requests in flight of each service, as the daemon
/// counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicesCommand;

impl ServicesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "services",
            "Shows the services, with the runners, tokens and requests that the daemon counts",
            "Example: sapphirestile --daemon 10.0.1.4:7070 services",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.services);
        output.write_outcome(outcome, |services| services_text(services))
    }
}

fn services_text(services: &[ServiceStatus]) -> String {
    let headers = ["SERVICE", "RUNNERS", "TOKENS", "IN FLIGHT"];
    let table = TextTable::from_entries(&headers, services, |entry| {
        vec![
            entry.service.to_string(),
            entry.runners.to_string(),
            entry.tokens.to_string(),
            entry.in_flight.to_string(),
        ]
    });
    table.to_string()
}
