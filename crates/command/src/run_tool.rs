//! The entry point of the tool.

use std::io::Write;

use bpaf::Args;
use bpaf::ParseFailure;

use crate::CommandLine;
use crate::ExitKind;
use crate::ToolEnvironment;
use crate::client::OperatorClient;
use crate::output::CommandOutput;
use crate::tool_environment::TOKEN_VARIABLE;

/// Parses the arguments, runs the command, and writes its result to `stdout` and its
/// errors and progress to `stderr`.
///
/// With `--json`, the error of an operation is written to `stdout` as JSON; the steps
/// and I/O errors that led to it still go to `stderr`.
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
        Ok(mut command_line) => {
            if let Err(message) = command_line.options.apply_environment(environment) {
                let _ = writeln!(stderr, "{TOKEN_VARIABLE}: {message}");
                return ExitKind::BadUsage;
            }
            let client = OperatorClient::new(&command_line.options);
            let mut output = CommandOutput::new(command_line.options.json, stdout, stderr);
            command_line.command.run(&client, &mut output)
        }
        Err(failure) => write_parse_failure(failure, stdout, stderr),
    }
}

fn write_parse_failure(
    failure: ParseFailure,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> ExitKind {
    // Write errors are ignored: when the stream is closed, there is no reader to tell.
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
