//! The caller's own request id, `SECONDS-REST`.

use std::time::Duration;

use hawthorn_types::RefusalReason;
use quick_error::quick_error;

use super::Options;

/// The longest request id, in bytes: a claim's value holds thousands of them.
pub const MAX_LENGTH: usize = 128;

quick_error! {
    /// Why a text is no request id.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseError {
        /// Longer than [`MAX_LENGTH`].
        TooLong {
            display("the request id is longer than {} bytes", MAX_LENGTH)
        }
        /// There is no hyphen, or nothing after it.
        NoRest {
            display("the request id is not SECONDS-REST")
        }
        /// What is before the first hyphen is no Unix time.
        BadSeconds {
            display("the request id does not begin with a Unix time in seconds")
        }
        /// There is a control character or one outside ASCII.
        BadCharacter {
            display("the request id has a character other than visible ASCII")
        }
    }
}

/// A request id and the second that it was made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestStamp {
    second: u64,
    text: String,
}

impl RequestStamp {
    /// Reads `SECONDS-REST`. The text is kept as it is: `07-a` and `7-a` are two ids.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        if text.len() > MAX_LENGTH {
            return Err(ParseError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseError::BadCharacter);
        }
        let (seconds, rest) = text.split_once('-').ok_or(ParseError::NoRest)?;
        if rest.is_empty() {
            return Err(ParseError::NoRest);
        }
        if !seconds.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseError::BadSeconds);
        }
        let second = seconds.parse().map_err(|_| ParseError::BadSeconds)?;
        Ok(Self { second, text: text.to_owned() })
    }

    /// The id as the caller wrote it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The Unix second that the caller made it.
    pub fn second(&self) -> u64 {
        self.second
    }

    /// The span of [`Options::span`] seconds that it lies in; it chooses the claim's key.
    pub fn span(&self, options: &Options) -> u64 {
        self.second / options.span.max(1)
    }

    /// The last moment at which it is accepted, in Unix time.
    pub fn expires_at(&self, options: &Options) -> Duration {
        Duration::from_secs(self.second).saturating_add(options.window)
    }

    /// Whether the id lies in the time for which claims are kept.
    ///
    /// Failure: an id older than the claims that are kept would find no claim
    /// and run a second time. It is refused instead, which is true: it was
    /// not run by this send and will not be.
    pub fn check(&self, unix_now: Duration, options: &Options) -> Result<(), RefusalReason> {
        let made = Duration::from_secs(self.second);
        if made > unix_now.saturating_add(options.skew) {
            return Err(RefusalReason::RequestIdInFuture);
        }
        if unix_now > self.expires_at(options) {
            return Err(RefusalReason::RequestIdTooOld);
        }
        Ok(())
    }
}

/// The first moment at which no host accepts an id of `span` any more.
pub(super) fn forgotten_at(span: u64, options: &Options) -> Duration {
    let end = Duration::from_secs(span.saturating_add(1).saturating_mul(options.span.max(1)));
    end.saturating_add(options.window).saturating_add(options.margin)
}
