//! Exit codes and the errors that lead to them. The table is in
//! docs/operators/command-line.md.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use quick_error::quick_error;

/// How a command ended, as scripts see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum CommandExit {
    /// It did what was asked, whole.
    Success = 0,
    /// The request was not run, or the configuration was not accepted.
    Refused = 1,
    /// A file cannot be read, or the command line is wrong.
    Usage = 2,
    /// It is not known whether the request or edit took effect.
    Unknown = 3,
    /// The answer does not cover everything asked for.
    Incomplete = 4,
    /// The request ran and failed.
    Failed = 5,
    /// The host or the platform cannot be reached.
    Unreachable = 6,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit as u8)
    }
}

quick_error! {
    /// Why a command could not be carried out.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file cannot be read.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
        }
        /// A text is not what it should be.
        Text(text: String) {
            display("{text}")
        }
        /// Nobody answers at the address.
        Unreachable(address: SocketAddr, text: String) {
            display("{address} cannot be reached: {text}")
        }
        /// A process or runtime could not start.
        Start(text: String) {
            display("{text}")
        }
    }
}

impl CommandError {
    /// The exit code that goes with it.
    pub(crate) fn code(&self) -> CommandExit {
        match self {
            Self::Unreachable(..) => CommandExit::Unreachable,
            _ => CommandExit::Usage,
        }
    }
}
