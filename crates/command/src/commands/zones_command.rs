//! Shows the zones of the document in force.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::bare_command;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::ZoneStatus;

/// Shows the zones of the document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonesCommand;

impl ZonesCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        bare_command(
            Self,
            "zones",
            "Shows the zones of the document in force",
            "Example: sapphirestile --daemon 10.0.1.4:7070 zones",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        let outcome = outcome.map(|status| status.zones);
        output.finish(outcome, |zones| zones_text(zones))
    }
}

fn zones_text(zones: &[ZoneStatus]) -> String {
    let heads = ["ZONE", "REGION", "STATE"];
    let table = TextTable::of(&heads, zones, |entry| {
        vec![
            entry.zone.to_string(),
            entry.region.to_string(),
            entry.state.to_string(),
        ]
    });
    table.to_string()
}
