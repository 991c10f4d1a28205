//! Runs the tool.

use std::io::Write;

use bpaf::Args;
use bpaf::ParseFailure;

use crate::CommandLine;
use crate::ExitKind;
use crate::ToolEnvironment;
use crate::client::OperatorClient;
use crate::output::CommandOutput;
use crate::tool_environment::TOKEN_VARIABLE;

/// Parses the arguments, runs the command and writes what came of it.
///
/// # Examples
///
/// ```
/// use sapphirestile_command::ExitKind;
/// use sapphirestile_command::ToolEnvironment;
/// use sapphirestile_command::run_tool;
///
/// let environment = ToolEnvironment { token: None };
/// let mut out = Vec::new();
/// let mut err = Vec::new();
/// let exit = run_tool(&["status"], &environment, &mut out, &mut err);
/// assert_eq!(exit, ExitKind::BadUsage);
/// assert!(String::from_utf8(err).unwrap().contains("give at least one --daemon"));
/// ```
pub fn run_tool<'a>(
    arguments: impl Into<Args<'a>>,
    environment: &ToolEnvironment,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> ExitKind {
    match CommandLine::parser().run_inner(arguments) {
        Ok(mut line) => {
            if let Err(message) = line.options.complete(environment) {
                let _ = writeln!(stderr, "{TOKEN_VARIABLE}: {message}");
                return ExitKind::BadUsage;
            }
            let client = OperatorClient::new(&line.options);
            let mut output = CommandOutput::new(line.options.json, stdout, stderr);
            line.command.run(&client, &mut output)
        }
        Err(failure) => report_failure(failure, stdout, stderr),
    }
}

fn report_failure(
    failure: ParseFailure,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> ExitKind {
    // A closed standard output leaves nobody to tell.
    match failure {
        ParseFailure::Stdout(help, _) => {
            let _ = writeln!(stdout, "{}", help.monochrome(true));
            ExitKind::Done
        }
        ParseFailure::Completion(text) => {
            let _ = write!(stdout, "{text}");
            ExitKind::Done
        }
        ParseFailure::Stderr(message) => {
            let _ = writeln!(stderr, "{}", message.monochrome(true));
            ExitKind::BadUsage
        }
    }
}
