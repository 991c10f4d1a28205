//! Command line program that prints the tables of an experiment.

use sapphirestile_experiment::ExperimentOptions;
use sapphirestile_experiment::run_experiment;

fn main() {
    let options = ExperimentOptions::parser().run();
    print!("{}", run_experiment(&options));
}
