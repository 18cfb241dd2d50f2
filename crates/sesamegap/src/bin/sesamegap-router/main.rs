//! `sesamegap-router`: takes callers' requests and routes them to engines and plain services.

use anyhow::{Context, Result};
use clap::Parser;
use sesamegap::config::{Config, ProcessConfig};
use sesamegap::router::{Links, Router};
use sesamegap::telemetry::{self, Format};
use sesamegap_settings::SettingsError;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a settings file with findings; wrong usage has the same.
const FINDINGS: u8 = 2;

/// Routes language-model traffic with long shared prompts.
///
/// Stops gracefully on SIGTERM and SIGINT. Exit codes: 0 stopped as planned; 1 could not start;
/// 2 findings in the settings file, or wrong usage.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-router")]
struct Cli {
    /// File with the process's settings, in JSON with comments
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            match error.downcast_ref() {
                Some(SettingsError::Invalid(_)) => ExitCode::from(FINDINGS),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn run(cli: &Cli) -> Result<()> {
    let config = ProcessConfig::load(&cli.config)?;
    let format = if config.json_logs {
        Format::Json
    } else {
        Format::Text
    };
    telemetry::init(format);
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    let links = Links::http(&config);
    let running = Router::new(config, links).start().await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop().await;
    Ok(())
}
