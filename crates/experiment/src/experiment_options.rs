//! Command line options.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::TableKind;

const SEED_COUNT_DEFAULT: u64 = 10;
const MINUTES_DEFAULT: u64 = 100;
const THREADS_DEFAULT: usize = 4;

/// The runs to make, as given on the command line.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// The group of policies to compare; baselines by default.
    pub table: TableKind,
    /// The name of the only deployment to simulate; `None` simulates all.
    pub deployment: Option<String>,
    /// The name of the only policy to run; `None` runs all of the table.
    pub only_policy: Option<String>,
    /// The seed of the first run of each policy.
    pub first_seed: u64,
    /// The number of consecutive seeds; each policy runs once per seed.
    pub seed_count: u64,
    /// The length of a run, in minutes of virtual time.
    pub minutes: u64,
    /// The request rate, in thousandths of the deployment plan's rate.
    pub load_permille: u64,
    /// The number of threads, each of which makes one run at a time.
    pub threads: usize,
}

impl ExperimentOptions {
    /// Builds the command line parser.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let table = long("table")
            .help("baselines, without or routing")
            .argument::<String>("TABLE")
            .parse(|text| TableKind::try_from(text.as_str()))
            .fallback(TableKind::Baselines);
        let deployment = long("deployment")
            .help("association or sand-works; both when absent")
            .argument::<String>("NAME")
            .optional();
        let only_policy = long("only")
            .help("Name of the only policy to run; all when absent")
            .argument::<String>("POLICY")
            .optional();
        let first_seed = long("first-seed")
            .help("The first seed")
            .argument::<u64>("SEED")
            .fallback(1);
        let seed_count = long("seeds")
            .help("Number of seeds; each policy runs once per seed")
            .argument::<u64>("COUNT")
            .fallback(SEED_COUNT_DEFAULT);
        let minutes = long("minutes")
            .help("The length of a run in minutes of virtual time")
            .argument::<u64>("MINUTES")
            .fallback(MINUTES_DEFAULT);
        let load_permille = long("load")
            .help("Request rate, in thousandths of the deployment's rate")
            .argument::<u64>("PERMILLE")
            .fallback(1_000);
        let threads = long("threads")
            .help("Number of runs made in parallel")
            .argument::<usize>("COUNT")
            .fallback(THREADS_DEFAULT);
        construct!(Self {
            table,
            deployment,
            only_policy,
            first_seed,
            seed_count,
            minutes,
            load_permille,
            threads
        })
        .to_options()
        .descr("Simulates scheduling policies in virtual time and compares them with baselines")
    }
}
