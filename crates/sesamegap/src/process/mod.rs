//! What the main functions of all programs share.

use crate::telemetry::{self, Format};
use anyhow::{Context, Result};
use sesamegap_settings::SettingsError;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a settings file with findings; wrong usage has the same.
const FINDINGS: u8 = 2;

/// Turns the outcome of a program into its exit code, printing an error with its causes.
pub fn exit(outcome: Result<ExitCode>) -> ExitCode {
    let error = match outcome {
        Ok(code) => return code,
        Err(error) => error,
    };
    eprintln!("{error:#}");
    match error.downcast_ref() {
        Some(SettingsError::Invalid(_)) => ExitCode::from(FINDINGS),
        _ => ExitCode::FAILURE,
    }
}

/// Starts logging, as JSON lines or as text.
pub fn log(json: bool) {
    telemetry::init(if json { Format::Json } else { Format::Text });
}

/// Waits until the process is told to stop, by SIGTERM or SIGINT.
///
/// # Errors
/// If the signals cannot be waited for.
pub async fn told_to_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
