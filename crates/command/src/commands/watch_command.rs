//! The command `watch`.

use std::time::Duration;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::commands::show_command::job_text;
use crate::operations::PollSettings;
use crate::operations::watch_job;
use crate::output::CommandOutput;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;
use sapphirestile_wire::api::TaskState;

const POLL_INTERVAL_DEFAULT_MS: u64 = 1_000;
const CONSECUTIVE_FAILURES_MAX: u32 = 5;

/// Polls a job until it ends, and writes a line to `stderr` whenever its state or the
/// counts of its tasks change.
///
/// Returns [`ExitKind::Refused`] when the job fails or is cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchCommand {
    /// The name of the job.
    pub job: JobName,
    /// The time between two reads of the job, in milliseconds; at least 1.
    pub interval_ms: u64,
}

impl WatchCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let interval_ms = long("every-ms")
            .help("Time between two reads, in milliseconds")
            .argument::<u64>("MS")
            .guard(
                |millis| *millis > 0,
                "the time between two reads must be at least 1 ms",
            )
            .fallback(POLL_INTERVAL_DEFAULT_MS)
            .display_fallback();
        let job = job_argument();
        construct!(Self { interval_ms, job })
            .to_options()
            .descr("Watches a job until it ends, with a line for each change; exits with 1 if the job fails or is cancelled")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 watch patterns")
            .command("watch")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let settings = PollSettings {
            interval: Duration::from_millis(self.interval_ms),
            consecutive_failures_max: CONSECUTIVE_FAILURES_MAX,
        };
        let mut last_line = String::new();
        let outcome = watch_job(client, &self.job, &settings, |view| {
            let line = progress_line(view);
            if line != last_line {
                output.write_progress(&line);
                last_line = line;
            }
        });
        let is_finished = outcome
            .as_ref()
            .is_ok_and(|view| view.state == JobState::Finished);
        match output.write_outcome(outcome, job_text) {
            ExitKind::Done if !is_finished => ExitKind::Refused,
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
