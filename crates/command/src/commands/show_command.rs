//! The command `show`.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobView;

/// Shows the state of a job and of each of its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShowCommand {
    /// The name of the job.
    pub job: JobName,
}

impl ShowCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let job = job_argument();
        construct!(Self { job })
            .to_options()
            .descr("Shows the state of a job and of each of its tasks")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 show patterns")
            .command("show")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let path = format!("/v1/jobs/{}", self.job);
        output.write_outcome(read_view(client, &path), job_text)
    }
}

/// Formats a job as a line followed by a table of its tasks.
pub(super) fn job_text(view: &JobView) -> String {
    let submission = &view.submission;
    let mut text = format!(
        "job {} of customer {}, cell {}: {}\n",
        submission.job, submission.customer, view.cell, view.state
    );
    let headers = ["TASK", "STATE", "ATTEMPT", "WORKER", "CHECKPOINT", "REASON"];
    let mut table = TextTable::new(&headers);
    for task in &view.tasks {
        let worker = task.worker.as_ref();
        table.push([
            task.index.to_string(),
            task.state.to_string(),
            task.attempt.to_string(),
            worker.map_or("-".to_owned(), ToString::to_string),
            format!("{} ms", task.checkpoint_ms),
            task.reason.clone().unwrap_or_default(),
        ]);
    }
    text += &table.to_string();
    text
}
