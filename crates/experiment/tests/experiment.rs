//! Tests that tables are reproducible and complete.

use test_case::test_case;

use sapphirestile_experiment::ExperimentOptions;
use sapphirestile_experiment::TableKind;
use sapphirestile_experiment::run_experiment;

fn options(table: TableKind, first_seed: u64, threads: usize) -> ExperimentOptions {
    ExperimentOptions {
        table,
        deployment: Some("sand-works".to_owned()),
        only_policy: None,
        first_seed,
        seed_count: 2,
        minutes: 3,
        load_permille: 100,
        threads,
    }
}

#[test_case(TableKind::Baselines; "baselines")]
#[test_case(TableKind::Ablations; "without")]
#[test_case(TableKind::Routing; "routing")]
fn the_same_seed_gives_the_same_table(table: TableKind) {
    let one = run_experiment(&options(table, 3, 1));
    let again = run_experiment(&options(table, 3, 4));
    assert_eq!(one, again, "seeds 3 to 4");
    let other = run_experiment(&options(table, 5, 1));
    assert_ne!(rows(&one), rows(&other), "seeds 3 to 4 against 5 to 6");
}

/// The rows of a table without the line above it, which shows the seeds.
fn rows(text: &str) -> Vec<&str> {
    text.lines().filter(|line| line.starts_with("| ")).collect()
}

#[test]
fn a_table_has_a_row_for_each_policy() {
    let text = run_experiment(&options(TableKind::Baselines, 1, 2));
    let names = text.lines().filter_map(|line| line.split('|').nth(1));
    let names = names.map(str::trim).collect::<Vec<_>>();
    assert_eq!(
        names,
        [
            "policy",
            "---",
            "chosen",
            "random",
            "round robin",
            "least loaded",
            "no colocation",
            "declared sizes"
        ]
    );
}
