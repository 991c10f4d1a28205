//! What to run.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::TableKind;

const SEEDS_DEFAULT: u64 = 10;
const MINUTES_DEFAULT: u64 = 100;
const THREADS_DEFAULT: usize = 4;

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Which policies to compare.
    pub table: TableKind,
    /// The deployment's name; both when absent.
    pub deployment: Option<String>,
    /// The one row to run; all when absent.
    pub only: Option<String>,
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds, one run each.
    pub seeds: u64,
    /// The length of a run, in minutes of virtual time.
    pub minutes: u64,
    /// Requests a second, in thousandths of the plan's.
    pub load_permille: u64,
    /// How many runs at a time.
    pub threads: usize,
}

impl ExperimentOptions {
    /// The parser of the command line.
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
        let only = long("only")
            .help("The one row to run; all when absent")
            .argument::<String>("POLICY")
            .optional();
        let first_seed = long("first-seed")
            .help("The first seed")
            .argument::<u64>("SEED")
            .fallback(1);
        let seeds = long("seeds")
            .help("How many seeds, one run each")
            .argument::<u64>("COUNT")
            .fallback(SEEDS_DEFAULT);
        let minutes = long("minutes")
            .help("The length of a run in minutes of virtual time")
            .argument::<u64>("MINUTES")
            .fallback(MINUTES_DEFAULT);
        let load_permille = long("load")
            .help("Requests a second, in thousandths of the plan's")
            .argument::<u64>("PERMILLE")
            .fallback(1_000);
        let threads = long("threads")
            .help("How many runs at a time")
            .argument::<usize>("COUNT")
            .fallback(THREADS_DEFAULT);
        construct!(Self {
            table,
            deployment,
            only,
            first_seed,
            seeds,
            minutes,
            load_permille,
            threads
        })
        .to_options()
        .descr("Runs the decisions in virtual time against baselines")
    }
}
