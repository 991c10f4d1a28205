//! The command `sapphirestile-soak`.

use std::process::ExitCode;

use bpaf::Parser;
use bpaf::long;

use sapphirestile_soak::FaultCounts;
use sapphirestile_soak::run_seed;

fn main() -> ExitCode {
    let span = long("seeds")
        .help("The seeds to run: one, or the first and the last, as in 1..500")
        .argument::<String>("FIRST..LAST")
        .parse(|text| read_span(&text))
        .to_options()
        .descr("Runs owners of cells through seeded failures in virtual time")
        .run();
    let (first, last) = span;
    let mut counts = FaultCounts::default();
    let (mut starts, mut entries, mut broken) = (0, 0, 0_u64);
    for seed in first..=last {
        let verdict = run_seed(seed);
        counts.add(&verdict.counts);
        starts += verdict.starts;
        entries += verdict.entries;
        if let Some(violation) = verdict.violation {
            broken += 1;
            println!("seed {seed}: {violation}");
            println!("  again: sapphirestile-soak --seeds {seed}");
        }
    }
    println!("seeds {first}..{last}: {entries} entries, {starts} attempts started");
    println!("{counts}");
    println!("violations: {broken}");
    ExitCode::from(u8::from(broken > 0))
}

fn read_span(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |part: &str| {
        part.parse::<u64>()
            .map_err(|_| format!("{part:?} is no seed: a whole number is expected"))
    };
    Ok((number(first)?, number(last)?))
}
