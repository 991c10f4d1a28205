//! A search that can be run by name.

use crate::protocol_model::ProtocolModel;
use crate::search::SearchReport;
use crate::search::explore_model;

/// A search of one model at fixed bounds.
pub struct CheckCase {
    name: String,
    search: Box<dyn Fn() -> SearchReport>,
}

impl CheckCase {
    /// The search of `model`. `bounds` is the name of its bounds or of its mutation.
    pub(crate) fn new<M: ProtocolModel + 'static>(protocol: &str, bounds: &str, model: M) -> Self {
        Self {
            name: format!("{protocol}/{bounds}"),
            search: Box::new(move || explore_model(&model)),
        }
    }

    /// Name of the protocol and of its bounds or mutation, such as `zone-out/small`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Searches the whole state space, which can take minutes at large bounds.
    #[must_use]
    pub fn run(&self) -> SearchReport {
        (self.search)()
    }
}
