//! `sesamegap-locator`: tells callers which routers to use.

use clap::Parser;
use sesamegap::locator::{self, Running};
use sesamegap::process;
use sesamegap::router::Links;
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
    let config = Cli::parse().config;
    let start = |config| {
        let vms = Links::http(&config).vms;
        locator::start(config, vms)
    };
    process::exit(process::serve(&config, start, Running::stop).await)
}
