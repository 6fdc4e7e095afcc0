//! Newtypes for rates, prices and sizes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The error of parsing or converting a quantity.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum UnitError {
    /// A rate is not a finite number above zero.
    #[error("a rate of {value} a second is impossible; give a number above zero")]
    Rate {
        /// Refused number, in events per second; may be infinite or NaN.
        value: f64,
    },
    /// A price is not a finite number of at least zero.
    #[error("a price of {value} is impossible; give zero or more")]
    Price {
        /// Refused number, in the deployment's own unit; may be infinite or NaN.
        value: f64,
    },
    /// The text is not a number.
    #[error("`{text}` is not a number")]
    Text {
        /// Input as given, with its unit suffix if it has one.
        text: SmolStr,
    },
}

macro_rules! float_unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $error:ident, $check:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// The value without its unit.
            pub fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = UnitError;

            fn try_from(value: f64) -> Result<Self, UnitError> {
                let is_valid: fn(f64) -> bool = $check;
                if !is_valid(value) {
                    return Err(UnitError::$error { value });
                }
                Ok(Self(value))
            }
        }

        impl From<$name> for f64 {
            fn from(unit: $name) -> f64 {
                unit.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.trim_end_matches($unit);
                let value: f64 =
                    number.parse().map_err(|_| UnitError::Text { text: text.into() })?;
                Self::try_from(value)
            }
        }
    };
}

float_unit!(
    /// A rate in events per second, above zero.
    ///
    /// ```
    /// use medlarlug_core::units::Rate;
    /// let rate: Rate = "2.5/s".parse().unwrap();
    /// assert_eq!(rate.get(), 2.5);
    /// assert!("0/s".parse::<Rate>().is_err());
    /// ```
    Rate,
    "/s",
    Rate,
    |value| value.is_finite() && value > 0.0
);
float_unit!(
    /// A price in the deployment's own unit, zero or more.
    ///
    /// ```
    /// use medlarlug_core::units::Price;
    /// assert!(Price::try_from(-1.0).is_err());
    /// ```
    Price,
    "",
    Price,
    |value| value.is_finite() && value >= 0.0
);

macro_rules! integer_unit {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError::Text { text: text.into() })
            }
        }
    };
}

integer_unit!(
    /// A number of model tokens, as of a prompt, an answer or a cache.
    Tokens,
    u64
);
integer_unit!(
    /// A number of requests that run at once.
    Slots,
    u32
);
integer_unit!(
    /// A size in bytes, as of a request's head or body.
    ByteSize,
    u64
);
