//! A batch of events from a source.

/// A batch of events with the revision up to which it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventListing<E> {
    /// The events in the order in which the source reported them.
    pub events: Vec<E>,
    /// The revision after which to watch for further events.
    pub revision: u64,
}

impl<E> EventListing<E> {
    /// Maps each event and drops those for which `read` returns `None`. The revision
    /// stays the same.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_entry::EventListing;
    ///
    /// let listing = EventListing { events: vec!["7", "x"], revision: 3 };
    /// let numbers = listing.filter_map(|text| text.parse::<u32>().ok());
    /// assert_eq!(numbers, EventListing { events: vec![7], revision: 3 });
    /// ```
    #[must_use]
    pub fn filter_map<T>(&self, read: impl Fn(&E) -> Option<T>) -> EventListing<T> {
        EventListing {
            events: self.events.iter().filter_map(read).collect(),
            revision: self.revision,
        }
    }
}
