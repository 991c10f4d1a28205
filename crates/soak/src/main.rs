//! The command `sapphirestile-soak`: runs seeds of the simulation and prints the violations.
//! It exits with status 1 when any seed violated an invariant.

use std::process::ExitCode;

use bpaf::Parser;
use bpaf::long;

use sapphirestile_soak::FaultCounts;
use sapphirestile_soak::run_seed;

fn main() -> ExitCode {
    let seeds = long("seeds")
        .help("The seeds to run: one, or the first and the last, as in 1..500")
        .argument::<String>("FIRST..LAST")
        .parse(|text| parse_seed_range(&text))
        .to_options()
        .descr("Runs owners of cells through seeded failures in virtual time")
        .run();
    let (first, last) = seeds;
    let mut counts = FaultCounts::default();
    let (mut starts, mut entries, mut violations) = (0, 0, 0_u64);
    for seed in first..=last {
        let result = run_seed(seed);
        counts.add(&result.fault_counts);
        starts += result.attempts_started;
        entries += result.entries_written;
        if let Some(violation) = result.violation {
            violations += 1;
            println!("seed {seed}: {violation}");
            println!("  again: sapphirestile-soak --seeds {seed}");
        }
    }
    println!("seeds {first}..{last}: {entries} entries, {starts} attempts started");
    println!("{counts}");
    println!("violations: {violations}");
    ExitCode::from(u8::from(violations > 0))
}

fn parse_seed_range(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |part: &str| {
        part.parse::<u64>()
            .map_err(|_| format!("expected a seed as a whole number, got {part:?}"))
    };
    Ok((number(first)?, number(last)?))
}
