//! Conversion of TOML values to typed fields, and their formatting in messages.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::UrgencyClass;
use toml::de::DeValue;

use crate::fault::FaultKind;
use crate::unit;

/// Type of a key in the operators' files.
pub trait FieldValue: Sized {
    /// Description of valid values for messages.
    const EXPECTED: &'static str;

    /// Converts a TOML value.
    ///
    /// # Errors
    ///
    /// The kind of fault if the value is invalid.
    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind>;

    /// Formats the value as operators write it, for messages.
    fn show(&self) -> String;
}

fn text<'v>(value: &'v DeValue<'_>) -> Result<&'v str, FaultKind> {
    value.as_str().ok_or(FaultKind::WrongType)
}

fn integer(value: &DeValue<'_>) -> Result<i64, FaultKind> {
    let number = value.as_integer().ok_or(FaultKind::WrongType)?;
    i64::from_str_radix(number.as_str(), number.radix()).map_err(|_| FaultKind::OutOfRange)
}

impl FieldValue for String {
    const EXPECTED: &'static str = "a string";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        text(value).map(str::to_owned)
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl FieldValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        value.as_bool().ok_or(FaultKind::WrongType)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for u32 {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        Self::try_from(integer(value)?).map_err(|_| FaultKind::OutOfRange)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for u64 {
    const EXPECTED: &'static str = "a whole number, 0 or more";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        Self::try_from(integer(value)?).map_err(|_| FaultKind::OutOfRange)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for i32 {
    const EXPECTED: &'static str = "a whole number";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        Self::try_from(integer(value)?).map_err(|_| FaultKind::OutOfRange)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for Duration {
    const EXPECTED: &'static str = unit::EXPECTED;

    /// A bare number is reported as a wrong unit and not as a wrong type, since `50` instead of
    /// `"50ms"` is a common mistake.
    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        if value.is_integer() || value.is_float() {
            return Err(FaultKind::WrongUnit);
        }
        unit::parse(text(value)?).ok_or(FaultKind::WrongUnit)
    }

    fn show(&self) -> String {
        unit::format(*self)
    }
}

impl FieldValue for SocketAddr {
    const EXPECTED: &'static str = "an IP number with a port, such as \"10.0.0.1:7000\"";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        text(value)?.parse().map_err(|_| FaultKind::BadAddress)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for DesiredState {
    const EXPECTED: &'static str = "serve, standby, drain or off";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        text(value)?.parse().map_err(|_| FaultKind::UnknownWord)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl FieldValue for UrgencyClass {
    const EXPECTED: &'static str = "urgent or normal";

    fn read(value: &DeValue<'_>) -> Result<Self, FaultKind> {
        text(value)?.parse().map_err(|_| FaultKind::UnknownWord)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

/// Displays a TOML value on one line, shortened if it is long.
pub struct ValueExcerpt<'v, 'i>(pub &'v DeValue<'i>);

/// Maximum length of a string shown in a message, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

impl fmt::Display for ValueExcerpt<'_, '_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            DeValue::String(text) if text.chars().count() > MAX_EXCERPT_CHARS => {
                let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
                write!(f, "{start:?}...")
            }
            DeValue::String(text) => write!(f, "{text:?}"),
            DeValue::Integer(number) => write!(f, "{number}"),
            DeValue::Float(number) => write!(f, "{number}"),
            DeValue::Boolean(flag) => write!(f, "{flag}"),
            DeValue::Datetime(time) => write!(f, "{time}"),
            DeValue::Array(items) => write!(f, "a list of {}", items.len()),
            DeValue::Table(_) => write!(f, "a table"),
        }
    }
}
