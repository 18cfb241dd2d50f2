//! Sends requests while faults come and go, and checks the promises.

use super::Cli;
use anyhow::Result;
use sesamegap::local::Deployment;
use sesamegap::local::soak::{Soak, soak};
use std::process::ExitCode;
use std::time::Duration;

pub async fn run(cli: &Cli, deployment: Deployment, seconds: u64) -> Result<ExitCode> {
    let plan = Soak {
        span: Duration::from_secs(seconds),
        seed: cli.seed,
    };
    let found = soak(&deployment, plan).await?;
    deployment.stop().await;
    if cli.json {
        println!("{}", serde_json::to_string(&found)?);
    } else {
        print!("{found}");
    }
    Ok(if found.is_sound() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
