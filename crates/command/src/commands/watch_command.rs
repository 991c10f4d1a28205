//! Follows a job to its end.

use std::time::Duration;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::commands::show_command::job_text;
use crate::operations::WatchPace;
use crate::operations::watch_job;
use crate::output::CommandOutput;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;
use sapphirestile_wire::api::TaskState;

const EVERY_DEFAULT_MS: u64 = 1_000;
const FAILURES_MAX: u32 = 5;

/// Follows a job to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchCommand {
    /// The job.
    pub job: JobName,
    /// The time between two reads, in milliseconds.
    pub every_ms: u64,
}

impl WatchCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let every_ms = long("every-ms")
            .help("Time between two reads, in milliseconds")
            .argument::<u64>("MS")
            .guard(
                |millis| *millis > 0,
                "the time between two reads is at least a millisecond",
            )
            .fallback(EVERY_DEFAULT_MS)
            .display_fallback();
        let job = job_argument();
        construct!(Self { every_ms, job })
            .to_options()
            .descr("Follows a job to its end, with a line for each step; ends with 1 unless the job finishes")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 watch patterns")
            .command("watch")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let pace = WatchPace {
            every: Duration::from_millis(self.every_ms),
            failures_max: FAILURES_MAX,
        };
        let mut shown = String::new();
        let outcome = watch_job(client, &self.job, &pace, |view| {
            let line = progress_line(view);
            if line != shown {
                output.progress(&line);
                shown = line;
            }
        });
        let finished = outcome
            .as_ref()
            .is_ok_and(|view| view.state == JobState::Finished);
        match output.finish(outcome, job_text) {
            ExitKind::Done if !finished => ExitKind::Refused,
            exit => exit,
        }
    }
}

fn progress_line(view: &JobView) -> String {
    let count = |state| view.tasks.iter().filter(|task| task.state == state).count();
    format!(
        "{}: {}, {} of {} finished, {} running, {} failed",
        view.submission.job,
        view.state,
        count(TaskState::Finished),
        view.tasks.len(),
        count(TaskState::Running),
        count(TaskState::Failed)
    )
}
