//! The `check` command.

use std::io;
use std::io::Write;
use std::time::Instant;

use crate::check_run::CaseSet;
use crate::check_run::list_cases;
use crate::command::CheckOptions;
use crate::search::SearchReport;
use crate::search::SearchVerdict;

/// Runs the searches selected by `options` and writes one line for each to `output`,
/// followed by the trace if a property is broken. Returns whether every verdict is the
/// expected one: a property is broken with a mutation, and all hold without.
///
/// # Errors
///
/// The error of `output`, if it cannot be written.
pub fn run_check(options: &CheckOptions, output: &mut impl Write) -> io::Result<bool> {
    let mut as_expected = true;
    for case in list_cases(options.bounds) {
        if !case.name().contains(&options.only) {
            continue;
        }
        let begin = Instant::now();
        let report = case.run();
        let millis = begin.elapsed().as_millis();
        let holds = report.verdict == SearchVerdict::Holds;
        as_expected &= holds != (options.bounds == CaseSet::Mutations);
        write!(output, "{} states={} ", case.name(), report.states)?;
        write!(output, "depth={} time_ms={millis} ", report.depth)?;
        write_verdict(&report, output)?;
        output.flush()?;
    }
    Ok(as_expected)
}

fn write_verdict(report: &SearchReport, output: &mut impl Write) -> io::Result<()> {
    match &report.verdict {
        SearchVerdict::Holds => writeln!(output, "holds"),
        SearchVerdict::Broken { property, trace } => {
            writeln!(output, "broken: {property}")?;
            write_trace(trace, output)
        }
        SearchVerdict::Stuck { trace } => {
            writeln!(output, "broken: heals")?;
            write_trace(trace, output)
        }
    }
}

fn write_trace(trace: &[String], output: &mut impl Write) -> io::Result<()> {
    for (step, action) in (1..).zip(trace) {
        writeln!(output, "  {step:>2} {action}")?;
    }
    Ok(())
}
