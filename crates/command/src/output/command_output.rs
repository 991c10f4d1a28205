//! The output streams of a command.

use std::io::Write;

use error_stack::Report;
use serde::Serialize;

use crate::ExitKind;
use crate::operations::OperationError;
use crate::output::escape_control_characters;

/// Writes results and errors, as JSON or as text, and returns the matching exit code.
pub struct CommandOutput<'w> {
    json: bool,
    stdout: &'w mut dyn Write,
    stderr: &'w mut dyn Write,
}

// Write errors are ignored: when a stream is closed, there is no reader to tell.
impl<'w> CommandOutput<'w> {
    /// An output to these streams; `json` selects JSON instead of text for results and
    /// errors.
    #[must_use]
    pub fn new(json: bool, stdout: &'w mut dyn Write, stderr: &'w mut dyn Write) -> Self {
        Self {
            json,
            stdout,
            stderr,
        }
    }

    /// Writes a result: `value` as JSON, or `text` as it is. Returns
    /// [`ExitKind::Done`].
    pub fn write_result(&mut self, value: &impl Serialize, text: &str) -> ExitKind {
        if self.json {
            self.write_json(value);
        } else {
            let _ = write!(self.stdout, "{text}");
        }
        ExitKind::Done
    }

    /// Writes an error as JSON to `stdout` or as text to `stderr`, then in both cases the
    /// failed steps and I/O errors that led to it to `stderr`. Returns the exit code of
    /// the error.
    pub fn write_error(&mut self, report: &Report<OperationError>) -> ExitKind {
        let error = report.current_context();
        if self.json {
            self.write_json(error);
        } else {
            let _ = writeln!(self.stderr, "{error}");
        }
        for cause in report.frames().filter_map(frame_cause) {
            let _ = writeln!(self.stderr, "  {}", escape_control_characters(&cause));
        }
        error.exit_kind()
    }

    /// Writes the result or the error of an operation. `text` formats the result; it is
    /// not called for JSON output.
    pub fn write_outcome<T: Serialize>(
        &mut self,
        outcome: Result<T, Report<OperationError>>,
        text: impl FnOnce(&T) -> String,
    ) -> ExitKind {
        match outcome {
            Ok(value) if self.json => self.write_result(&value, ""),
            Ok(value) => self.write_result(&value, &text(&value)),
            Err(report) => self.write_error(&report),
        }
    }

    /// Writes a line of progress to `stderr`, also for JSON output.
    pub fn write_progress(&mut self, line: &str) {
        let _ = writeln!(self.stderr, "{}", escape_control_characters(line));
    }

    /// Writes to `stderr`, as text in every case, which argument or file cannot be used.
    /// Returns [`ExitKind::BadUsage`].
    pub fn write_usage_error(&mut self, message: &str) -> ExitKind {
        let _ = writeln!(self.stderr, "{}", escape_control_characters(message));
        ExitKind::BadUsage
    }

    fn write_json(&mut self, value: &impl Serialize) {
        let text =
            serde_json::to_string_pretty(value).expect("views and errors always encode as JSON");
        let _ = writeln!(self.stdout, "{text}");
    }
}

fn frame_cause(frame: &error_stack::Frame) -> Option<String> {
    if let Some(step) = frame.downcast_ref::<sapphirestile_core::StepError>() {
        return Some(step.to_string());
    }
    frame
        .downcast_ref::<std::io::Error>()
        .map(ToString::to_string)
}
