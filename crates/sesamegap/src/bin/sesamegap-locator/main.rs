//! `sesamegap-locator`: tells callers which routers to use.

use anyhow::Result;
use clap::Parser;
use sesamegap::config::{Config, ProcessConfig};
use sesamegap::router::Links;
use sesamegap::{locator, process};
use std::path::PathBuf;
use std::process::ExitCode;

/// Tells callers which routers to use.
///
/// Stops on SIGTERM and SIGINT. Exit codes: 0 stopped as planned; 1 could not start; 2 findings in
/// the settings file, or wrong usage.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-locator")]
struct Cli {
    /// File with the process's settings, in JSON with comments
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    process::exit(run(&Cli::parse()).await)
}

async fn run(cli: &Cli) -> Result<ExitCode> {
    let config = ProcessConfig::load(&cli.config)?;
    process::log(config.json_logs);
    let vms = Links::http(&config).vms;
    let running = locator::start(config, vms).await?;
    process::told_to_stop().await?;
    running.stop().await;
    Ok(ExitCode::SUCCESS)
}
