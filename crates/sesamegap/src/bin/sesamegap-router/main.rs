//! `sesamegap-router`: takes callers' requests and routes them to engines and plain services.

use clap::Parser;
use sesamegap::process;
use sesamegap::router::{Links, Router, Running};
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
    let config = Cli::parse().config;
    let start = |config| {
        let links = Links::http(&config);
        Router::new(config, links).start()
    };
    process::exit(process::serve(&config, start, Running::stop).await)
}
