//! The command `status`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_core::CellNumber;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::WorkerPressure;

/// Shows the status of a daemon, the other members that it knows, and the slowdown of
/// requests on workers' machines where it was measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusCommand;

impl StatusCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "status",
            "Shows the status of a daemon and the other daemons that it knows",
            "Example: sapphirestile --daemon 10.0.1.4:7070 status",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<DaemonStatus>(client, "/v1/status");
        output.write_outcome(outcome, status_text)
    }
}

fn pressure_text(pressures: &[WorkerPressure]) -> String {
    let headers = ["WORKER", "SLOWDOWN", "REQUESTS", "DAEMONS", "THROTTLED"];
    let table = TextTable::from_entries(&headers, pressures, |pressure| {
        vec![
            pressure.worker.to_string(),
            format!("{} thousandths", pressure.slowdown_permille),
            pressure.requests.to_string(),
            pressure.daemons.to_string(),
            pressure.throttled.to_string(),
        ]
    });
    table.to_string()
}

fn status_text(status: &DaemonStatus) -> String {
    let cells = status
        .cells
        .iter()
        .map(|owned_cell| format!("{} (epoch {})", owned_cell.cell, owned_cell.epoch));
    let cells = cells.collect::<Vec<_>>().join(", ");
    let store = if status.store_reachable {
        "reachable"
    } else {
        "unreachable"
    };
    let mut table = TextTable::default();
    for (name, value) in [
        ("daemon", status.daemon.to_string()),
        ("incarnation", status.incarnation.to_string()),
        ("zone", status.zone.to_string()),
        ("phase", status.phase.to_string()),
        ("revision", status.revision.to_string()),
        ("store", store.to_owned()),
        ("cells", cells),
    ] {
        table.push([name.to_owned(), value]);
    }
    if !status.empty_cells.is_empty() {
        let empty = status.empty_cells.iter().map(CellNumber::to_string);
        let empty = empty.collect::<Vec<_>>().join(", ");
        table.push(["without workers".to_owned(), format!("cells {empty}")]);
    }
    let mut members = TextTable::new(&["MEMBER", "INCARNATION", "ADDRESS", "SILENT"]);
    for member in &status.members {
        members.push([
            member.daemon.to_string(),
            member.incarnation.to_string(),
            member.address.to_string(),
            format!("{} ms", member.silent_ms),
        ]);
    }
    if status.pressures.is_empty() {
        return format!("{table}\n{members}");
    }
    format!("{table}\n{members}\n{}", pressure_text(&status.pressures))
}
