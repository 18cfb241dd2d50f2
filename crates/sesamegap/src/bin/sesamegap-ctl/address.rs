//! `address`: what a locator tells callers.

use anyhow::Result;
use sesamegap::ctl::{Client, Exit, render};

/// Ask a locator which addresses callers are to use
#[derive(Debug, clap::Args)]
pub struct Args {}

pub async fn run(_: &Args, client: &Client) -> Result<Exit> {
    crate::print(&render::json(&client.address().await?))?;
    Ok(Exit::Done)
}
