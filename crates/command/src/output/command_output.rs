//! Where a command writes.

use std::io::Write;

use error_stack::Report;
use serde::Serialize;

use crate::ExitKind;
use crate::operations::OperationFault;
use crate::output::printable;

/// Writes results and failures, as JSON or for people.
pub struct CommandOutput<'w> {
    json: bool,
    stdout: &'w mut dyn Write,
    stderr: &'w mut dyn Write,
}

// A closed output leaves nobody to tell, so failures to write are passed over.
impl<'w> CommandOutput<'w> {
    /// An output to these writers.
    #[must_use]
    pub fn new(json: bool, stdout: &'w mut dyn Write, stderr: &'w mut dyn Write) -> Self {
        Self {
            json,
            stdout,
            stderr,
        }
    }

    /// Writes a result and ends well.
    pub fn done(&mut self, value: &impl Serialize, text: &str) -> ExitKind {
        if self.json {
            self.write_json(value);
        } else {
            let _ = write!(self.stdout, "{text}");
        }
        ExitKind::Done
    }

    /// Writes what was left undone and why.
    pub fn failed(&mut self, report: &Report<OperationFault>) -> ExitKind {
        let fault = report.current_context();
        if self.json {
            self.write_json(fault);
        } else {
            let _ = writeln!(self.stderr, "{fault}");
        }
        for cause in report.frames().filter_map(cause_of) {
            let _ = writeln!(self.stderr, "  {}", printable(&cause));
        }
        fault.exit()
    }

    /// Writes an outcome, whichever it is.
    pub fn finish<T: Serialize>(
        &mut self,
        outcome: Result<T, Report<OperationFault>>,
        text: impl FnOnce(&T) -> String,
    ) -> ExitKind {
        match outcome {
            Ok(value) if self.json => self.done(&value, ""),
            Ok(value) => self.done(&value, &text(&value)),
            Err(report) => self.failed(&report),
        }
    }

    /// Writes how far long work has come.
    pub fn progress(&mut self, line: &str) {
        let _ = writeln!(self.stderr, "{}", printable(line));
    }

    /// Writes that an argument is wrong.
    pub fn bad_usage(&mut self, message: &str) -> ExitKind {
        let _ = writeln!(self.stderr, "{}", printable(message));
        ExitKind::BadUsage
    }

    fn write_json(&mut self, value: &impl Serialize) {
        let text = serde_json::to_string_pretty(value).expect("views and faults always encode");
        let _ = writeln!(self.stdout, "{text}");
    }
}

fn cause_of(frame: &error_stack::Frame) -> Option<String> {
    if let Some(step) = frame.downcast_ref::<sapphirestile_core::StepError>() {
        return Some(step.to_string());
    }
    frame
        .downcast_ref::<std::io::Error>()
        .map(ToString::to_string)
}
