//! Command-line options of `check`.

use bpaf::Parser;

use crate::check_run::CaseSet;

/// Selection of the searches that `check` runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// Value of `--bounds`; [`CaseSet::Small`] by default.
    pub bounds: CaseSet,
    /// Value of `--only`: searches whose name does not contain this text are skipped.
    /// Empty by default, which selects all.
    pub only: String,
}

impl CheckOptions {
    /// Parser of the command line, with the subcommand `check`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_specification::CaseSet;
    /// use sapphirestile_specification::CheckOptions;
    ///
    /// let parser = CheckOptions::parser();
    /// let options = parser.run_inner(&["check", "--bounds", "large"]).unwrap();
    /// assert_eq!(options.bounds, CaseSet::Large);
    /// ```
    #[must_use]
    pub fn parser() -> bpaf::OptionParser<Self> {
        let bounds = bpaf::long("bounds")
            .help("small, large or mutations")
            .argument::<String>("BOUNDS")
            .parse(|text| CaseSet::try_from(text.as_str()))
            .fallback(CaseSet::Small);
        let only = bpaf::long("only")
            .help("run only the searches whose name contains this text")
            .argument::<String>("TEXT")
            .fallback(String::new());
        let check = bpaf::construct!(Self { bounds, only }).to_options();
        let check = check.descr("Searches the protocol models and prints the verdicts");
        check.command("check").to_options()
    }
}
