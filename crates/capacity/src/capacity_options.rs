//! Command-line options of the capacity tool.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::CapacityPart;

const ROUNDS_DEFAULT: usize = 9;
const SECONDS_DEFAULT: u64 = 10;

/// Command-line options of the capacity tool.
#[derive(Clone, Debug)]
pub struct CapacityOptions {
    /// Group of measurements to run.
    pub part: CapacityPart,
    /// Repetitions of each processor time measurement; at least 1. Other parts ignore it.
    pub rounds: usize,
    /// Duration of each fleet measurement at rest, and again under load, in seconds. Only
    /// the part `fleet` reads it.
    pub seconds: u64,
    /// Path of the daemon executable that the part `fleet` starts.
    pub daemon: String,
    /// Folder in which the part `fleet` writes settings and logs of its daemons.
    pub folder: String,
}

impl CapacityOptions {
    /// Returns the command-line parser.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let part = long("part")
            .help("messages, processor, memory, sessions or fleet")
            .argument::<String>("PART")
            .parse(|text| CapacityPart::try_from(text.as_str()));
        let rounds = long("rounds")
            .help("Repetitions of each measurement")
            .argument::<usize>("COUNT")
            .fallback(ROUNDS_DEFAULT);
        let seconds = long("seconds")
            .help("Duration of each fleet measurement, in seconds")
            .argument::<u64>("SECONDS")
            .fallback(SECONDS_DEFAULT);
        let daemon = long("daemon")
            .help("Path of the daemon executable, for the part fleet")
            .argument::<String>("FILE")
            .fallback("target/release/sapphirestiled".to_owned());
        let folder = long("folder")
            .help("Folder for settings and logs of the part fleet")
            .argument::<String>("FOLDER")
            .fallback("target/capacity".to_owned());
        construct!(Self {
            part,
            rounds,
            seconds,
            daemon,
            folder
        })
        .to_options()
        .descr("Measures how state, messages and processor time grow")
    }
}
