//! Checks the models of the core protocols and prints the verdicts.

use std::process::ExitCode;

use sapphirestile_specification::CheckOptions;
use sapphirestile_specification::run_check;

fn main() -> ExitCode {
    let options = CheckOptions::parser().run();
    match run_check(&options, &mut std::io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("could not write the verdicts to standard output: {error}");
            ExitCode::FAILURE
        }
    }
}
