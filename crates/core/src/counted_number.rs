//! The macro behind every counted number.

/// Declares a number that only counts upwards.
macro_rules! counted_number {
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
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The number after this one.
            ///
            /// # Panics
            ///
            /// When the number is the largest of its type.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("a counted number overflowed"))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

pub(crate) use counted_number;
