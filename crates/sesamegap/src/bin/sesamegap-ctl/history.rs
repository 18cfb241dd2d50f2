//! `history`: the last changes and what became of them.

use anyhow::Result;
use sesamegap::ctl::{Client, Exit, render};

/// Show the last changes and what became of them
#[derive(Debug, clap::Args)]
pub struct Args {}

pub async fn run(_: &Args, client: &Client) -> Result<Exit> {
    crate::print(&render::history(&client.history().await?))?;
    Ok(Exit::Done)
}
