//! `sesamegap-controller`: orders engines to hold models, while it holds the lease.

use clap::Parser;
use sesamegap::controller::{self, Links, Running};
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
    let config = Cli::parse().config;
    let start = |config| {
        let links = Links::http(&config);
        controller::start(config, links)
    };
    process::exit(process::serve(&config, start, Running::stop).await)
}
