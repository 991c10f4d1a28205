//! A call to the runner.

/// Where the bytes of a try are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunnerCall {
    /// Nothing was sent.
    #[default]
    Unsent,
    /// The bytes are on their way.
    UnderWay,
    /// The runner ran the request, and its answer is on its way.
    Ran,
    /// Nothing more will come.
    Over,
}
