//! Searches the specification of the core protocol.

use std::process::ExitCode;

use sapphirestile_specification::CheckOptions;
use sapphirestile_specification::run_check;

fn main() -> ExitCode {
    let options = CheckOptions::parser().run();
    match run_check(&options, &mut std::io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("write the verdicts: {error}");
            ExitCode::FAILURE
        }
    }
}
