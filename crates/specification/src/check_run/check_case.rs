//! One search.

use crate::protocol_model::ProtocolModel;
use crate::search::SearchReport;
use crate::search::explore_model;

/// A model at fixed bounds, by name.
pub struct CheckCase {
    name: String,
    search: Box<dyn Fn() -> SearchReport>,
}

impl CheckCase {
    /// The search of `model`, named after the protocol and its bounds.
    pub(crate) fn new<M: ProtocolModel + 'static>(protocol: &str, bounds: &str, model: M) -> Self {
        Self {
            name: format!("{protocol}/{bounds}"),
            search: Box::new(move || explore_model(&model)),
        }
    }

    /// The protocol and its bounds or its mutation.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Runs the search.
    #[must_use]
    pub fn run(&self) -> SearchReport {
        (self.search)()
    }
}
