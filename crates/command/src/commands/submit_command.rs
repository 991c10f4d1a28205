//! Submits a job.

use std::str::FromStr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::commands::arguments::named_option;
use crate::commands::show_command::job_text;
use crate::operations::submit_job;
use crate::output::CommandOutput;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::JobSubmission;

const EXAMPLE: &str = "Example: sapphirestile --daemon 10.0.1.4:7070 submit patterns --customer tailors \
    --tasks 40 --cpu-milli 500 --memory-mb 1024 --run-ms 60000";

/// Submits a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitCommand {
    /// The job.
    pub submission: JobSubmission,
}

impl SubmitCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let submission = submission();
        construct!(Self { submission })
            .to_options()
            .descr("Submits a job; the same submission twice is one job")
            .footer(EXAMPLE)
            .command("submit")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = submit_job(client, &self.submission);
        output.finish(outcome, job_text)
    }
}

fn submission() -> impl Parser<JobSubmission> {
    let customer = named_option("customer", "NAME", "Customer that the job counts for");
    let tasks = number_option("tasks", "COUNT", "How many tasks the job has").fallback(1);
    let size = task_size();
    let run_ms = number_option("run-ms", "MS", "Run time of each task, in milliseconds");
    let urgent = long("urgent").help("Goes ahead of the backlog").switch();
    let zones = named_option(
        "zone",
        "ZONE",
        "Zone that it may run in; give more to allow more",
    )
    .some("a zone")
    .map(in_order)
    .optional();
    let job = job_argument();
    construct!(JobSubmission {
        customer,
        tasks,
        size,
        run_ms,
        urgent,
        zones,
        job,
    })
}

fn task_size() -> impl Parser<ResourceSize> {
    let cpu_milli = number_option("cpu-milli", "MILLI", "Thousandths of a core for each task");
    let memory_mb = number_option("memory-mb", "MB", "Mebibytes of memory for each task");
    let accelerators =
        number_option("accelerators", "COUNT", "Accelerators for each task").fallback(0);
    construct!(ResourceSize {
        cpu_milli,
        memory_mb,
        accelerators,
    })
}

fn number_option<N>(name: &'static str, metavar: &'static str, help: &'static str) -> impl Parser<N>
where
    N: FromStr + 'static,
    N::Err: std::fmt::Display,
{
    long(name).help(help).argument::<N>(metavar)
}

// The daemon keeps the zones in order, and a submission is told by comparing it.
fn in_order(mut zones: Vec<ZoneName>) -> Vec<ZoneName> {
    zones.sort();
    zones.dedup();
    zones
}
