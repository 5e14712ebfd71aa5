//! Durations in the operators' files: an integer and a unit, such as `50ms` or `3s`.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error as _;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// Description of the format for messages.
pub const EXPECTED: &str = "a whole number with a unit, us, ms, s, m or h, such as \"50ms\"";

/// The units, smallest first.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
enum TimeUnit {
    Us,
    Ms,
    S,
    M,
    H,
}

impl TimeUnit {
    fn micros(self) -> u64 {
        match self {
            Self::Us => 1,
            Self::Ms => 1_000,
            Self::S => 1_000_000,
            Self::M => 60_000_000,
            Self::H => 3_600_000_000,
        }
    }

    fn parse(text: &str) -> Option<Self> {
        Self::iter().find(|&unit| <&str>::from(unit) == text)
    }
}

/// Parses a duration. Returns `None` if the number or the unit is missing or invalid, or the value
/// overflows.
pub fn parse(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit = TimeUnit::parse(unit)?;
    number.checked_mul(unit.micros()).map(Duration::from_micros)
}

/// Formats `duration` in the largest unit that represents it exactly, truncated to microseconds.
pub fn format(duration: Duration) -> String {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let exact = |unit: &TimeUnit| micros != 0 && micros.is_multiple_of(unit.micros());
    let unit = TimeUnit::iter().rev().find(exact).unwrap_or(TimeUnit::Ms);
    format!("{}{}", micros / unit.micros(), <&str>::from(unit))
}

/// `serde_with` adapter for durations with a unit.
pub struct UnitDuration;

impl SerializeAs<Duration> for UnitDuration {
    fn serialize_as<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format(*duration))
    }
}

impl<'de> DeserializeAs<'de, Duration> for UnitDuration {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| D::Error::custom(EXPECTED))
    }
}
