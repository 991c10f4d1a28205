//! Runs searches and writes their verdicts.

use std::io;
use std::io::Write;
use std::time::Instant;

use crate::check_run::BoundsName;
use crate::check_run::list_cases;
use crate::command::CheckOptions;
use crate::search::SearchReport;
use crate::search::SearchVerdict;

/// Runs the searches of `options` and writes to `output`; returns whether each
/// verdict is the expected one: broken for a mutation, else holding.
///
/// # Errors
///
/// Those of `output`.
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
        as_expected &= holds != (options.bounds == BoundsName::Mutations);
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
