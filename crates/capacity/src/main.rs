//! Command-line entry point of the capacity tool: prints the tables of one part.

use sapphirestile_capacity::CapacityOptions;
use sapphirestile_capacity::run_part;

fn main() {
    let options = CapacityOptions::parser().run();
    for table in run_part(&options) {
        println!("{table}");
    }
}
