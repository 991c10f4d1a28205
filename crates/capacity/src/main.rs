//! The capacity tool.

use sapphirestile_capacity::CapacityOptions;
use sapphirestile_capacity::run_part;

fn main() {
    let options = CapacityOptions::parser().run();
    for table in run_part(&options) {
        println!("{table}");
    }
}
