//! The command `vms`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::VmListing;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmState;

/// Lists the VMs, from the copy of the list that the daemon last read, with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmsCommand;

impl VmsCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "vms",
            "Lists the VMs as the daemon last read them",
            "Example: sapphirestile --daemon 10.0.1.4:7070 vms",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<VmListing>(client, "/v1/vms");
        output.write_outcome(outcome, vms_text)
    }
}

fn vms_text(listing: &VmListing) -> String {
    let headers = [
        "VM", "KIND", "ADDRESS", "ZONE", "RACK", "SERVICE", "WORKER", "STATE",
    ];
    let table = TextTable::from_entries(&headers, &listing.vms, |vm| {
        vec![
            vm.name.clone(),
            kind_text(vm.kind).to_owned(),
            vm.address.clone(),
            vm.zone.to_string(),
            vm.rack.as_ref().map_or("-".to_owned(), ToString::to_string),
            vm.service
                .as_ref()
                .map_or("-".to_owned(), ToString::to_string),
            vm.worker.name().map_or("-".to_owned(), ToString::to_string),
            state_text(vm.state).to_owned(),
        ]
    });
    format!("{table}read {} ms ago\n", listing.age_ms)
}

const fn kind_text(kind: VmKind) -> &'static str {
    match kind {
        VmKind::Entry => "entry",
        VmKind::Worker => "worker",
        VmKind::Runner => "runner",
    }
}

const fn state_text(state: VmState) -> &'static str {
    match state {
        VmState::Live => "live",
        VmState::Leaving => "leaving",
    }
}
