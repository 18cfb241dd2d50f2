//! `sesamegap-controller`: orders engines to hold models, while it holds the lease.

use anyhow::Result;
use clap::Parser;
use sesamegap::config::{Config, ProcessConfig};
use sesamegap::controller::{self, Links};
use sesamegap::process;
use std::path::PathBuf;
use std::process::ExitCode;

/// Orders engines to hold models, while it holds the lease.
///
/// Stops on SIGTERM and SIGINT, giving the lease back. Exit codes: 0 stopped as planned; 1 could
/// not start; 2 findings in the settings file, or wrong usage.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-controller")]
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
    let links = Links::http(&config);
    let running = controller::start(config, links).await?;
    process::told_to_stop().await?;
    running.stop().await;
    Ok(ExitCode::SUCCESS)
}
