//! The command `explain`.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::operations::read_view;
use crate::output::CommandOutput;
use crate::output::TextTable;
use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;
use sapphirestile_wire::api::Explanation;

/// Shows the decisions that led to the state of a job or a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainCommand {
    /// The name of the job.
    pub job: JobName,
    /// The task to explain; `None` to explain the job.
    pub index: Option<TaskIndex>,
}

impl ExplainCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let index = positional::<u32>("INDEX")
            .help("Index of the task in the job; default: explain the job")
            .map(TaskIndex::new)
            .optional();
        let job = job_argument();
        construct!(Self { job, index })
            .to_options()
            .descr(
                "Explains the state of a job or a task: the decisions that led to it, oldest first",
            )
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 explain patterns 3")
            .command("explain")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let path = match self.index {
            Some(index) => format!("/v1/explain/{}/{index}", self.job),
            None => format!("/v1/explain/{}", self.job),
        };
        output.write_outcome(read_view(client, &path), explanation_text)
    }
}

fn explanation_text(explanation: &Explanation) -> String {
    let mut table = TextTable::default();
    table.push([explanation.subject.clone()]);
    for line in &explanation.lines {
        table.push([format!("  {line}")]);
    }
    table.to_string()
}
