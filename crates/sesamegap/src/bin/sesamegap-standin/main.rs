//! `sesamegap-standin`: small stand-ins of the platform and the upstreams.

mod serve;

use clap::Parser;
use sesamegap::config::{Config, StandinConfig};
use sesamegap::process;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs small stand-ins of the platform and the upstreams on loopback, for tests.
///
/// Prints one JSON line with all addresses when it is ready, and serves until SIGTERM or SIGINT.
/// Exit codes: 0 stopped; 1 failed; 2 findings or wrong usage.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-standin")]
struct Cli {
    /// File with address, keys and site
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

async fn run(cli: &Cli) -> anyhow::Result<ExitCode> {
    let config = StandinConfig::load(&cli.config)?;
    serve::run(&config).await?;
    Ok(ExitCode::SUCCESS)
}

#[tokio::main]
async fn main() -> ExitCode {
    process::exit(run(&Cli::parse()).await)
}
