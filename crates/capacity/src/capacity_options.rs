//! What to measure.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::CapacityPart;

const ROUNDS_DEFAULT: usize = 9;
const SECONDS_DEFAULT: u64 = 10;

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct CapacityOptions {
    /// Which part to measure.
    pub part: CapacityPart,
    /// How many repetitions of each measurement of processor time.
    pub rounds: usize,
    /// How long each fleet is watched at rest, and again under load, in seconds.
    pub seconds: u64,
    /// The daemon's program, for the part `fleet`.
    pub daemon: String,
    /// Takes settings and logs of the part `fleet`.
    pub folder: String,
}

impl CapacityOptions {
    /// The parser of the command line.
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
            .help("How long each fleet is watched, in seconds")
            .argument::<u64>("SECONDS")
            .fallback(SECONDS_DEFAULT);
        let daemon = long("daemon")
            .help("The daemon's program, for the part fleet")
            .argument::<String>("FILE")
            .fallback("target/release/sapphirestiled".to_owned());
        let folder = long("folder")
            .help("Takes settings and logs of the part fleet")
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
