//! All runs of a table.

use std::fmt::Write;

use crossbeam::channel;
use crossbeam::thread;

use crate::DeploymentPlan;
use crate::ExperimentOptions;
use crate::OutcomeTable;
use crate::PolicySet;
use crate::RunOutcome;
use crate::plan::to_f64;
use crate::single_run::run_once;

/// Makes every run of `options` and returns the tables as text.
///
/// The text depends on the options and seeds only, not on the number of
/// threads.
///
/// # Panics
///
/// When a run panics: an invariant was broken.
#[must_use]
pub fn run_experiment(options: &ExperimentOptions) -> String {
    let mut text = String::new();
    for plan in DeploymentPlan::all() {
        let wanted = options.deployment.as_deref();
        if wanted.is_none_or(|name| name == plan.name) {
            let table = table_of(&plan, options);
            writeln!(text, "{table}").expect("writing to a string succeeds");
        }
    }
    text
}

fn table_of(plan: &DeploymentPlan, options: &ExperimentOptions) -> OutcomeTable {
    let mut policies = PolicySet::rows_of(options.table);
    if let Some(only) = &options.only {
        policies.retain(|policy| policy.name == *only);
    }
    let seeds = (options.first_seed..options.first_seed + options.seeds).collect::<Vec<_>>();
    let runs = policies.len() * seeds.len();
    let mut outcomes = vec![RunOutcome::default(); runs];
    let (work_sender, work) = channel::unbounded();
    let (result_sender, results) = channel::unbounded();
    for run in 0..runs {
        work_sender.send(run).expect("the receiver is held here");
    }
    drop(work_sender);
    thread::scope(|scope| {
        for _ in 0..options.threads {
            let (work, result_sender) = (work.clone(), result_sender.clone());
            let (policies, seeds) = (&policies, &seeds);
            scope.spawn(move |_| {
                for run in work {
                    let policy = &policies[run / seeds.len()];
                    let seed = seeds[run % seeds.len()];
                    let load = to_f64(options.load_permille) / 1_000.0;
                    let outcome = run_once(plan, policy, seed, options.minutes, load);
                    let sent = result_sender.send((run, outcome));
                    sent.expect("the results are read until all senders are gone");
                }
            });
        }
        drop(result_sender);
        for (run, outcome) in results {
            outcomes[run] = outcome;
        }
    })
    .expect("no run panics");
    let by_policy = outcomes.chunks(seeds.len()).map(<[RunOutcome]>::to_vec);
    let names = policies.into_iter().map(|policy| policy.name);
    OutcomeTable {
        deployment: plan.name,
        rows: names.zip(by_policy).collect(),
        seeds,
    }
}
