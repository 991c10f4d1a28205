//! The command `zones`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::ZoneStatus;

/// Shows the region and the state of each zone in the active document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonesCommand;

impl ZonesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "zones",
            "Shows the zones of the active document",
            "Example: sapphirestile --daemon 10.0.1.4:7070 zones",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.zones);
        output.write_outcome(outcome, |zones| zones_text(zones))
    }
}

fn zones_text(zones: &[ZoneStatus]) -> String {
    let headers = ["ZONE", "REGION", "STATE"];
    let table = TextTable::from_entries(&headers, zones, |entry| {
        vec![
            entry.zone.to_string(),
            entry.region.to_string(),
            entry.state.to_string(),
        ]
    });
    table.to_string()
}
