//! Exit codes.

use super::client::ClientError;
use sesamegap_settings::SettingsError;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed, and nothing took effect.
    Failed = 1,
    /// Findings, or wrong usage; `clap` uses the same code.
    Findings = 2,
    /// Another change was first; nothing took effect.
    Conflict = 3,
    /// It is not known whether it took effect.
    Unknown = 4,
}

impl Exit {
    /// The code for an error.
    pub fn of(error: &anyhow::Error) -> Self {
        if let Some(SettingsError::Invalid(_)) = error.downcast_ref() {
            return Self::Findings;
        }
        match error.downcast_ref() {
            Some(ClientError::Unknown(_)) => Self::Unknown,
            _ => Self::Failed,
        }
    }
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
