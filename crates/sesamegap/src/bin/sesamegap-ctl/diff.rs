//! `diff`: what publishing a file would change.

use anyhow::Result;
use sesamegap::ctl::{Client, Exit, file, publish, render};
use std::path::PathBuf;

/// Show what publishing a file would change, and the revision to base it on
#[derive(Debug, clap::Args)]
pub struct Args {
    /// File with `tree` or `edits`
    file: PathBuf,
}

pub async fn run(args: &Args, client: &Client) -> Result<Exit> {
    let content = file::publishable(&args.file)?;
    let current = client.tree().await?;
    let edits = publish::edits(content, &current)?;
    crate::print(&format!(
        "revision {}\n{}",
        current.revision,
        render::edits(&edits)
    ))?;
    Ok(Exit::Done)
}
