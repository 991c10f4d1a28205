//! Events up to a revision.

/// Events, and the revision up to which there are no others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventListing<E> {
    /// The events, in their order.
    pub events: Vec<E>,
    /// The revision to go on from.
    pub revision: u64,
}

impl<E> EventListing<E> {
    /// The events that `read` understands, up to the same revision.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_entry::EventListing;
    ///
    /// let listing = EventListing { events: vec!["7", "x"], revision: 3 };
    /// let numbers = listing.read(|text| text.parse::<u32>().ok());
    /// assert_eq!(numbers, EventListing { events: vec![7], revision: 3 });
    /// ```
    #[must_use]
    pub fn read<T>(&self, read: impl Fn(&E) -> Option<T>) -> EventListing<T> {
        EventListing {
            events: self.events.iter().filter_map(read).collect(),
            revision: self.revision,
        }
    }
}
