//! The command `list`.

use bpaf::Parser;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::command_without_arguments;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_wire::api::JobSummary;

/// Lists the jobs, with the counts of their tasks by state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListCommand;

impl ListCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        command_without_arguments(
            Self,
            "list",
            "Lists the jobs with the counts of their tasks",
            "Example: sapphirestile --daemon 10.0.1.4:7070 list",
        )
    }

    pub(crate) fn run(client: &OperatorClient<'_>, output: &mut CommandOutput<'_>) -> ExitKind {
        let outcome = read_view::<Vec<JobSummary>>(client, "/v1/jobs");
        output.write_outcome(outcome, |jobs| jobs_text(jobs))
    }
}

fn jobs_text(jobs: &[JobSummary]) -> String {
    let headers = [
        "JOB", "CUSTOMER", "CELL", "STATE", "URGENT", "TASKS", "RUNNING", "FINISHED", "FAILED",
    ];
    let table = TextTable::from_entries(&headers, jobs, |job| {
        let urgent = if job.urgent { "yes" } else { "no" };
        vec![
            job.job.to_string(),
            job.customer.to_string(),
            job.cell.to_string(),
            job.state.to_string(),
            urgent.to_owned(),
            job.tasks.to_string(),
            job.running.to_string(),
            job.finished.to_string(),
            job.failed.to_string(),
        ]
    });
    table.to_string()
}
