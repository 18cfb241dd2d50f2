//! `dump`: the state of a process.

use anyhow::Result;
use sesamegap::ctl::{Client, Exit, render};

/// Show the state of a process
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of the process, as http://IP:PORT; left out, the first router that answers
    process: Option<String>,
}

pub async fn run(args: &Args, client: &Client) -> Result<Exit> {
    let state = client.dump(args.process.as_deref()).await?;
    crate::print(&render::json(&state))?;
    Ok(Exit::Done)
}
