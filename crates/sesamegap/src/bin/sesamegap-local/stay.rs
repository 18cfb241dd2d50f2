//! Serves until told to stop.

use super::Cli;
use anyhow::Result;
use serde_json::Value;
use sesamegap::local::Deployment;
use sesamegap::process;
use std::io::Write;
use std::process::ExitCode;

pub async fn run(cli: &Cli, deployment: Deployment) -> Result<ExitCode> {
    let greeting = deployment.greeting();
    let mut out = std::io::stdout();
    if cli.json {
        writeln!(out, "{greeting}")?;
    } else {
        for (what, value) in greeting.as_object().into_iter().flatten() {
            writeln!(out, "{what:<9} {}", plain(value))?;
        }
    }
    out.flush()?;
    process::told_to_stop().await?;
    deployment.stop().await;
    Ok(ExitCode::SUCCESS)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
