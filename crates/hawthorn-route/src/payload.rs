//! Kinds of payloads in membership datagrams.
//!
//! Handles a rolling update, in which hosts with different sets of kinds exchange datagrams: a
//! payload of an unknown kind is recognized and ignored, and quarantine messages have the same
//! bytes as before kinds existed.
//!
//! A payload starts with the byte of its kind. Quarantine messages are the exception: they start
//! with the index of their variant, which is below [`FIRST_KIND`].

use quick_error::quick_error;

quick_error! {
    /// Why a payload is not read.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// It has no bytes.
        Empty {
            display("empty payload")
        }
        /// It is of a kind that this host does not know.
        UnknownKind(kind: u8) {
            display("payload of unknown kind {kind}")
        }
    }
}

/// The lowest byte of a kind. Lower bytes are variants of quarantine messages.
pub const FIRST_KIND: u8 = 16;

/// The kind of a payload. Bytes are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::FromRepr, strum::EnumIter)]
#[repr(u8)]
pub enum PayloadKind {
    /// A message about quarantined requests.
    Quarantine = 0,
    /// Reports of zones that do not answer.
    ZoneReports = 16,
    /// Reports of the load and speed of targets.
    TargetReports = 17,
}

/// The payload that carries a message of a kind.
pub fn wrap(kind: PayloadKind, message: Vec<u8>) -> Vec<u8> {
    match kind {
        PayloadKind::Quarantine => message,
        _ => std::iter::once(kind as u8).chain(message).collect(),
    }
}

/// The kind and the message of a payload.
///
/// # Errors
///
/// The payload is empty or of an unknown kind.
pub fn open(payload: &[u8]) -> Result<(PayloadKind, &[u8]), Error> {
    let (first, rest) = payload.split_first().ok_or(Error::Empty)?;
    if *first < FIRST_KIND {
        return Ok((PayloadKind::Quarantine, payload));
    }
    let kind = PayloadKind::from_repr(*first).ok_or(Error::UnknownKind(*first))?;
    Ok((kind, rest))
}
