//! A macro that declares newtypes of validated names.

/// Declares a newtype of a validated name: 1 to 63 characters of `a-z`, `0-9`, `-`
/// and `.`, starting with a letter or a digit.
macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use sapphirestile_core::", stringify!($name), ";")]
        ///
        #[doc = concat!("let name = ", stringify!($name), "::try_from(\"alpha-1\").unwrap();")]
        /// assert_eq!(name.as_str(), "alpha-1");
        #[doc = concat!("assert!(", stringify!($name), "::try_from(\"Not a name\").is_err());")]
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = crate::NameError;

            fn try_from(text: &str) -> Result<Self, Self::Error> {
                crate::name_error::check_name(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::try_from(text.as_str())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                Self::try_from(text.as_ref()).map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use checked_name;
