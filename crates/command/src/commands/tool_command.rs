//! The commands of the tool.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::CancelCommand;
use crate::commands::DocumentCommand;
use crate::commands::DumpCommand;
use crate::commands::ExplainCommand;
use crate::commands::ListCommand;
use crate::commands::QueuesCommand;
use crate::commands::ServicesCommand;
use crate::commands::ShowCommand;
use crate::commands::StatusCommand;
use crate::commands::SubmitCommand;
use crate::commands::VmsCommand;
use crate::commands::WatchCommand;
use crate::commands::ZoneCommand;
use crate::commands::ZonesCommand;
use crate::output::CommandOutput;

/// A parsed command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolCommand {
    /// `submit`: submits a job.
    Submit(SubmitCommand),
    /// `cancel`: cancels a job.
    Cancel(CancelCommand),
    /// `list`: lists the jobs.
    List(ListCommand),
    /// `show`: shows a job with its tasks.
    Show(ShowCommand),
    /// `watch`: waits until a job ends.
    Watch(WatchCommand),
    /// `status`: shows the status of a daemon.
    Status(StatusCommand),
    /// `zones`: shows the zones of the active document.
    Zones(ZonesCommand),
    /// `vms`: lists the VMs.
    Vms(VmsCommand),
    /// `services`: shows the services.
    Services(ServicesCommand),
    /// `queues`: shows the task queues of cells.
    Queues(QueuesCommand),
    /// `document`: shows, compares or replaces the operators' document.
    Document(DocumentCommand),
    /// `zone`: takes a zone out of service or returns it.
    Zone(ZoneCommand),
    /// `dump`: writes the complete state of a daemon.
    Dump(DumpCommand),
    /// `explain`: explains the state of a job or a task.
    Explain(ExplainCommand),
}

impl ToolCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let submit = SubmitCommand::parser().map(Self::Submit);
        let cancel = CancelCommand::parser().map(Self::Cancel);
        let list = ListCommand::parser().map(Self::List);
        let show = ShowCommand::parser().map(Self::Show);
        let watch = WatchCommand::parser().map(Self::Watch);
        let status = StatusCommand::parser().map(Self::Status);
        let zones = ZonesCommand::parser().map(Self::Zones);
        let vms = VmsCommand::parser().map(Self::Vms);
        let services = ServicesCommand::parser().map(Self::Services);
        let queues = QueuesCommand::parser().map(Self::Queues);
        let document = DocumentCommand::parser().map(Self::Document);
        let zone = ZoneCommand::parser().map(Self::Zone);
        let dump = DumpCommand::parser().map(Self::Dump);
        let explain = ExplainCommand::parser().map(Self::Explain);
        construct!([
            submit, cancel, list, show, watch, status, zones, vms, services, queues, document,
            zone, dump, explain
        ])
    }

    /// Runs the command with requests through `client`, writes its result or error to
    /// `output` and returns the exit code.
    pub fn run(&self, client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        match self {
            Self::Submit(command) => command.run(client, output),
            Self::Cancel(command) => command.run(client, output),
            Self::List(ListCommand) => ListCommand::run(client, output),
            Self::Show(command) => command.run(client, output),
            Self::Watch(command) => command.run(client, output),
            Self::Status(StatusCommand) => StatusCommand::run(client, output),
            Self::Zones(ZonesCommand) => ZonesCommand::run(client, output),
            Self::Vms(VmsCommand) => VmsCommand::run(client, output),
            Self::Services(ServicesCommand) => ServicesCommand::run(client, output),
            Self::Queues(QueuesCommand) => QueuesCommand::run(client, output),
            Self::Document(command) => command.run(client, output),
            Self::Zone(command) => command.run(client, output),
            Self::Dump(DumpCommand) => DumpCommand::run(client, output),
            Self::Explain(command) => command.run(client, output),
        }
    }
}
