//! The command `cancel`.

use bpaf::Parser;
use bpaf::construct;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::commands::show_command::job_text;
use crate::operations::cancel_job;
use crate::output::CommandOutput;
use sapphirestile_core::JobName;

/// Cancels a job and shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelCommand {
    /// The name of the job to cancel.
    pub job: JobName,
}

impl CancelCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let job = job_argument();
        construct!(Self { job })
            .to_options()
            .descr("Cancels a job; safe to repeat")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 cancel patterns")
            .command("cancel")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = cancel_job(client, &self.job);
        output.write_outcome(outcome, job_text)
    }
}
