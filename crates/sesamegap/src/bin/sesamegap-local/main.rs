//! `sesamegap-local`: a whole deployment on loopback, as threads of one process.

mod requests;
mod stay;

use anyhow::{Context, Result};
use clap::{Parser, ValueEnum};
use sesamegap::config::Config;
use sesamegap::local::Deployment;
use sesamegap::process;
use sesamegap::site::Site;
use sesamegap::telemetry;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Runs routers, locators, controllers and stand-ins of a whole site on loopback.
///
/// Exit codes: 0 every answer was whole, in order and its own request's, or stopped as planned; 1
/// otherwise; 2 findings in the site's file, or wrong usage.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-local")]
struct Cli {
    /// Site to run
    #[arg(long, value_enum)]
    site: SiteName,
    /// Folder with the sites' settings files
    #[arg(long, value_name = "DIR", default_value = "settings")]
    settings: PathBuf,
    /// Send so many of the site's requests, print the measures and exit
    #[arg(long, value_name = "N", required_unless_present = "stay")]
    requests: Option<usize>,
    /// Serve until told to stop
    #[arg(long, conflicts_with = "requests")]
    stay: bool,
    /// Bring about a fault while requests are sent; may be given more than once
    #[arg(long, value_name = "NAME")]
    fault: Vec<String>,
    /// Seed of requests and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object instead of text
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum SiteName {
    Desai,
    Vannas,
}

impl SiteName {
    fn name(self) -> &'static str {
        match self {
            Self::Desai => "desai",
            Self::Vannas => "vannas",
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    process::exit(run(&Cli::parse()).await)
}

async fn run(cli: &Cli) -> Result<ExitCode> {
    telemetry::init_quiet();
    let name = cli.site.name();
    let file = cli.settings.join(format!("{name}.jsonc"));
    let site = Arc::new(Site::load(&file)?);
    let deployment = Deployment::start(site)
        .await
        .with_context(|| format!("cannot start site {name}"))?;
    if cli.stay {
        stay::run(cli, deployment).await
    } else {
        requests::run(cli, deployment, cli.requests.unwrap_or(0)).await
    }
}
