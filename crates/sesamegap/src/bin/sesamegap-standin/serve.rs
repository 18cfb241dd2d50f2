//! Serving until told to stop.

use anyhow::{Context, Result};
use sesamegap::config::{Config, StandinConfig};
use sesamegap::process;
use sesamegap::site::Site;
use sesamegap_standin::Deployment;
use std::io::{self, Write};
use std::path::Path;

/// Brings up a site's stand-ins and serves until SIGTERM or SIGINT.
pub async fn run(config: &StandinConfig) -> Result<()> {
    process::log(config.json_logs);
    let site = Site::load(Path::new(config.site.as_str()))?;
    let operator = blake3::Hash::from_hex(config.operator.as_bytes())
        .context("the operators' hash is not one")?;
    let plan = site
        .standins
        .control(config.listen)
        .operator_hash(operator)
        .build();
    let deployment = Deployment::start(plan)
        .await
        .with_context(|| format!("cannot listen on {}", config.listen))?;
    announce(&deployment)?;
    process::told_to_stop().await
}

/// Writes one line with all addresses.
fn announce(deployment: &Deployment) -> Result<()> {
    let mut line = serde_json::to_string(deployment.addresses())?;
    line.push('\n');
    let mut out = io::stdout();
    out.write_all(line.as_bytes())
        .and_then(|()| out.flush())
        .context("cannot write the addresses")
}
