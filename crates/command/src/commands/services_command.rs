//! Shows the services as the daemon sees them.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::ServiceStatus;

/// Shows the services as the daemon sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicesCommand;

impl ServicesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        bpaf::pure(Self)
            .to_options()
            .descr("Shows the services as the daemon sees them")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 services")
            .command("services")
    }

    #[expect(clippy::unused_self, reason = "every command runs alike")]
    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.services);
        output.finish(outcome, |services| services_text(services))
    }
}

fn services_text(services: &[ServiceStatus]) -> String {
    let mut table = TextTable::new(&["SERVICE", "RUNNERS", "TOKENS", "IN FLIGHT"]);
    for entry in services {
        table.push([
            entry.service.to_string(),
            entry.runners.to_string(),
            entry.tokens.to_string(),
            entry.in_flight.to_string(),
        ]);
    }
    table.to_string()
}
