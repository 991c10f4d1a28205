//! Makes the runs of all tables, in parallel.

use std::fmt::Write;

use crossbeam::channel;
use crossbeam::thread;

use crate::DeploymentPlan;
use crate::ExperimentOptions;
use crate::OutcomeTable;
use crate::PolicyVariant;
use crate::RunOutcome;
use crate::plan::to_f64;
use crate::single_run::run_once;

/// Makes every run that `options` selects and returns the tables as Markdown.
///
/// The text depends on the deployments, policies, seeds, length and load only,
/// not on the number of threads. It is empty if no deployment has the name that
/// `options` gives.
///
/// # Panics
///
/// Panics if a run panics because an invariant of the simulation was broken.
#[must_use]
pub fn run_experiment(options: &ExperimentOptions) -> String {
    let mut text = String::new();
    for plan in DeploymentPlan::all() {
        let only_deployment = options.deployment.as_deref();
        if only_deployment.is_none_or(|name| name == plan.name) {
            let table = run_table(&plan, options);
            writeln!(text, "{table}").expect("writing to a string succeeds");
        }
    }
    text
}

fn run_table(plan: &DeploymentPlan, options: &ExperimentOptions) -> OutcomeTable {
    let mut policies = PolicyVariant::for_table(options.table);
    if let Some(only_policy) = &options.only_policy {
        policies.retain(|policy| policy.name == *only_policy);
    }
    let seeds = (options.first_seed..options.first_seed + options.seed_count).collect::<Vec<_>>();
    let run_count = policies.len() * seeds.len();
    let mut outcomes = vec![RunOutcome::default(); run_count];
    let (run_sender, queued_runs) = channel::unbounded();
    let (result_sender, results) = channel::unbounded();
    for run in 0..run_count {
        run_sender
            .send(run)
            .expect("the receiver lives until the end of this function");
    }
    drop(run_sender);
    thread::scope(|scope| {
        for _ in 0..options.threads {
            let (queued_runs, result_sender) = (queued_runs.clone(), result_sender.clone());
            let (policies, seeds) = (&policies, &seeds);
            scope.spawn(move |_| {
                for run in queued_runs {
                    let policy = &policies[run / seeds.len()];
                    let seed = seeds[run % seeds.len()];
                    let load = to_f64(options.load_permille) / 1_000.0;
                    let outcome = run_once(plan, policy, seed, options.minutes, load);
                    let sent = result_sender.send((run, outcome));
                    sent.expect("results are received until every sender is dropped");
                }
            });
        }
        drop(result_sender);
        for (run, outcome) in results {
            outcomes[run] = outcome;
        }
    })
    .expect("no run panics");
    let outcomes_by_policy = outcomes.chunks(seeds.len()).map(<[RunOutcome]>::to_vec);
    let names = policies.into_iter().map(|policy| policy.name);
    OutcomeTable {
        deployment: plan.name,
        rows: names.zip(outcomes_by_policy).collect(),
        seeds,
    }
}
