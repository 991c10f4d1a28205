//! Serves one stand-in of the platform until the process is killed.

use std::process::ExitCode;

use sapphirestile_standins::command::StandinCommand;

fn main() -> ExitCode {
    let command = StandinCommand::options().run();
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
