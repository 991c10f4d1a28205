//! A macro that declares newtypes of sequence numbers.

/// Declares an integer newtype for epochs, revisions and other numbers that only
/// increase.
macro_rules! sequence_number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use sapphirestile_core::", stringify!($name), ";")]
        ///
        #[doc = concat!("let number = ", stringify!($name), "::new(4);")]
        /// assert_eq!(number.next().get(), 5);
        /// ```
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the newtype from an integer.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The value as an integer.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The next higher number.
            ///
            /// # Panics
            ///
            /// If the number is the maximum of its integer type.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("the number is the maximum of its integer type"))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

pub(crate) use sequence_number;
