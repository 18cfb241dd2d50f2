//! `sesamegap-router`: takes callers' requests and routes them to engines and plain services.

use anyhow::Result;
use clap::Parser;
use sesamegap::config::{Config, ProcessConfig};
use sesamegap::process;
use sesamegap::router::{Links, Router};
use std::path::PathBuf;
use std::process::ExitCode;

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
    process::exit(run(&Cli::parse()).await)
}

async fn run(cli: &Cli) -> Result<ExitCode> {
    let config = ProcessConfig::load(&cli.config)?;
    process::log(config.json_logs);
    let links = Links::http(&config);
    let running = Router::new(config, links).start().await?;
    process::told_to_stop().await?;
    running.stop().await;
    Ok(ExitCode::SUCCESS)
}
