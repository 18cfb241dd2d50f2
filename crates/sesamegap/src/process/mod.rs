//! What the main functions of all programs share.

use crate::config::{Config, ProcessConfig};
use crate::telemetry::{self, Format};
use anyhow::{Context, Result};
use sesamegap_settings::SettingsError;
use std::path::Path;
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

/// Reads a process's settings, starts it, and stops it as planned once it is told to.
///
/// # Errors
/// With all findings in the settings, or if the process cannot be started.
pub async fn serve<T, S, E>(
    file: &Path,
    start: impl FnOnce(ProcessConfig) -> S,
    stop: impl FnOnce(T) -> E,
) -> Result<ExitCode>
where
    S: Future<Output = Result<T>>,
    E: Future<Output = ()>,
{
    let config = ProcessConfig::load(file)?;
    log(config.json_logs);
    let running = start(config).await?;
    told_to_stop().await?;
    stop(running).await;
    Ok(ExitCode::SUCCESS)
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
