//! Exit codes and command errors. docs/operators/command-line.md documents the codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use quick_error::quick_error;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum CommandExit {
    /// The command succeeded completely.
    Success = 0,
    /// The request did not run, or the configuration was not accepted.
    Refused = 1,
    /// A file cannot be read, or the command line is invalid.
    Usage = 2,
    /// It is unknown whether the request or edit took effect.
    Unknown = 3,
    /// The answer does not cover everything that was requested.
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
    /// Why a command could not run.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file cannot be read.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
        }
        /// An input or a response is malformed.
        Text(text: String) {
            display("{text}")
        }
        /// The address does not respond.
        Unreachable(address: SocketAddr, text: String) {
            display("cannot reach {address}: {text}")
        }
        /// A process or runtime could not start.
        Start(text: String) {
            display("{text}")
        }
    }
}

impl CommandError {
    /// The exit code for the error.
    pub(crate) fn code(&self) -> CommandExit {
        match self {
            Self::Unreachable(..) => CommandExit::Unreachable,
            _ => CommandExit::Usage,
        }
    }
}
