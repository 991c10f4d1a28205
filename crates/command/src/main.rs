//! The binary `sapphirestile`: runs the tool with the arguments, the environment
//! and the standard streams of the process.

use std::process::ExitCode;

use bpaf::Args;

use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;

fn main() -> ExitCode {
    let mut stdout = std::io::stdout().lock();
    let mut stderr = std::io::stderr().lock();
    let environment = ToolEnvironment::from_process();
    run_tool(Args::current_args(), &environment, &mut stdout, &mut stderr).into()
}
