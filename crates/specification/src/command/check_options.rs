//! Options of the command.

use bpaf::Parser;

use crate::check_run::BoundsName;

/// What `check` is asked to search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// The set of searches.
    pub bounds: BoundsName,
    /// Only searches whose name contains this.
    pub only: String,
}

impl CheckOptions {
    /// Reads the command line.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_specification::BoundsName;
    /// use sapphirestile_specification::CheckOptions;
    ///
    /// let parser = CheckOptions::parser();
    /// let options = parser.run_inner(&["check", "--bounds", "large"]).unwrap();
    /// assert_eq!(options.bounds, BoundsName::Large);
    /// ```
    #[must_use]
    pub fn parser() -> bpaf::OptionParser<Self> {
        let bounds = bpaf::long("bounds")
            .help("small, large or mutations")
            .argument::<String>("BOUNDS")
            .parse(|text| BoundsName::try_from(text.as_str()))
            .fallback(BoundsName::Small);
        let only = bpaf::long("only")
            .help("only searches whose name contains this")
            .argument::<String>("TEXT")
            .fallback(String::new());
        let check = bpaf::construct!(Self { bounds, only }).to_options();
        let check = check.descr("Searches the protocol models and prints the verdicts");
        check.command("check").to_options()
    }
}
