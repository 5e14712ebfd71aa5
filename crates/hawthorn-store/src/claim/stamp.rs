//! Request ids made by callers, `SECONDS-REST`.

use std::time::Duration;

use hawthorn_types::RefusalReason;
use quick_error::quick_error;

use super::Options;

/// Maximum length of a request id in bytes: one stored value contains thousands of them.
pub const MAX_LENGTH: usize = 128;

quick_error! {
    /// Why a text is not a request id.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseError {
        /// Longer than [`MAX_LENGTH`].
        TooLong {
            display("the request id is longer than {} bytes", MAX_LENGTH)
        }
        /// There is no hyphen, or nothing follows it.
        MissingSuffix {
            display("the request id is not SECONDS-REST")
        }
        /// The part before the first hyphen is not a Unix time.
        BadSeconds {
            display("the request id does not begin with a Unix time in seconds")
        }
        /// A character is not visible ASCII.
        BadCharacter {
            display("the request id has a character other than visible ASCII")
        }
    }
}

/// A request id and the second in which it was created.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestStamp {
    second: u64,
    text: String,
}

impl RequestStamp {
    /// Parses `SECONDS-REST`. The text is not normalized: `07-a` and `7-a` are different ids.
    ///
    /// # Errors
    /// [`ParseError`] if the text is too long or malformed.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        if text.len() > MAX_LENGTH {
            return Err(ParseError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseError::BadCharacter);
        }
        let (seconds, suffix) = text.split_once('-').ok_or(ParseError::MissingSuffix)?;
        if suffix.is_empty() {
            return Err(ParseError::MissingSuffix);
        }
        if !seconds.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseError::BadSeconds);
        }
        let second = seconds.parse().map_err(|_| ParseError::BadSeconds)?;
        Ok(Self { second, text: text.to_owned() })
    }

    /// The id as the caller sent it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The Unix second in which the caller created it.
    pub fn second(&self) -> u64 {
        self.second
    }

    /// The span of [`Options::span`] seconds that contains it, which is part of the claim's
    /// key.
    pub fn span(&self, options: &Options) -> u64 {
        self.second / options.span.max(1)
    }

    /// The last point in time at which it is accepted, in Unix time.
    pub fn expires_at(&self, options: &Options) -> Duration {
        Duration::from_secs(self.second).saturating_add(options.window)
    }

    /// Checks that the id lies within the window in which claims are kept.
    ///
    /// An id older than the window would find no claim and run a second time. It is refused as
    /// not run, which is true of this send.
    ///
    /// An id ahead of this clock by no more than clocks may differ is refused for now only, as this
    /// clock may be behind. An id that is too old is refused for good: if it is recent, this clock
    /// is ahead by more than the margin, and claims may be deleted too early.
    ///
    /// # Errors
    /// The reason for the refusal: the id is too old, or ahead of this clock.
    pub fn check(&self, unix_now: Duration, options: &Options) -> Result<(), RefusalReason> {
        let created = Duration::from_secs(self.second);
        if created > unix_now.saturating_add(options.skew) {
            return Err(match created <= unix_now.saturating_add(options.margin) {
                true => RefusalReason::ClockUncertain,
                false => RefusalReason::RequestIdInFuture,
            });
        }
        if unix_now > self.expires_at(options) {
            return Err(RefusalReason::RequestIdTooOld);
        }
        Ok(())
    }
}

/// The time from which no host accepts an id of `span`, so that its claims may be deleted.
pub(super) fn retained_until(span: u64, options: &Options) -> Duration {
    let end = Duration::from_secs(span.saturating_add(1).saturating_mul(options.span.max(1)));
    end.saturating_add(options.window).saturating_add(options.margin)
}
