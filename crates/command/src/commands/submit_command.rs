//! The command `submit`.

use std::str::FromStr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::job_argument;
use crate::commands::arguments::name_option;
use crate::commands::show_command::job_text;
use crate::operations::submit_job;
use crate::output::CommandOutput;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::JobSubmission;

const EXAMPLE: &str = "Example: sapphirestile --daemon 10.0.1.4:7070 submit patterns --customer tailors \
    --tasks 40 --cpu-milli 500 --memory-mb 1024 --run-ms 60000";

/// Submits a job and shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitCommand {
    /// The body of the request, as the arguments describe it.
    pub submission: JobSubmission,
}

impl SubmitCommand {
    pub(crate) fn parser() -> impl Parser<Self> {
        let submission = submission_parser();
        construct!(Self { submission })
            .to_options()
            .descr("Submits a job; repeating the same submission creates no second job")
            .footer(EXAMPLE)
            .command("submit")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let outcome = submit_job(client, &self.submission);
        output.write_outcome(outcome, job_text)
    }
}

fn submission_parser() -> impl Parser<JobSubmission> {
    let customer = name_option("customer", "NAME", "Customer whose quota the job uses");
    let tasks = number_option("tasks", "COUNT", "Number of tasks; default: 1").fallback(1);
    let size = task_size_parser();
    let run_ms = number_option(
        "run-ms",
        "MS",
        "Declared run time of each task, in milliseconds",
    );
    let urgent = long("urgent")
        .help("Schedule the job ahead of jobs that are not urgent")
        .switch();
    let zones = name_option(
        "zone",
        "ZONE",
        "Zone that the tasks may run in; repeat to allow more; default: every zone",
    )
    .some("give at least one --zone ZONE")
    .map(sort_and_dedup)
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

fn task_size_parser() -> impl Parser<ResourceSize> {
    let cpu_milli = number_option(
        "cpu-milli",
        "MILLI",
        "CPU of each task, in thousandths of a core",
    );
    let memory_mb = number_option("memory-mb", "MB", "Memory of each task, in mebibytes");
    let accelerators = number_option(
        "accelerators",
        "COUNT",
        "Number of accelerators of each task; default: 0",
    )
    .fallback(0);
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

// The daemon stores the zones sorted and without duplicates. Submissions are compared for
// equality, so the same set of zones must always be sent as the same list.
fn sort_and_dedup(mut zones: Vec<ZoneName>) -> Vec<ZoneName> {
    zones.sort();
    zones.dedup();
    zones
}
