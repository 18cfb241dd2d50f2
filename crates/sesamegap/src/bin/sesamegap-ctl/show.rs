//! `show`: a part of the tree, as written or as in force.

use anyhow::{Context, Result};
use sesamegap::ctl::{Client, Exit, render};
use sesamegap_settings::TreePath;

/// Show what stands at a path
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Path such as teams/NAME; left out, the whole tree
    path: Option<TreePath>,
    /// Show each value in force with where it is inherited from
    #[arg(long, requires = "path")]
    effective: bool,
}

pub async fn run(args: &Args, client: &Client) -> Result<Exit> {
    if let (Some(path), true) = (&args.path, args.effective) {
        let answer = client.effective(path.as_str()).await?;
        crate::print(&render::effective(&answer))?;
        return Ok(Exit::Done);
    }
    let answer = client.tree().await?;
    let mut value = &answer.tree;
    let parts = args.path.iter().flat_map(|path| path.as_str().split('/'));
    for part in parts {
        value = value
            .get(part)
            .with_context(|| format!("nothing stands at `{part}`"))?;
    }
    eprintln!("revision {}", answer.revision);
    crate::print(&render::json(value))?;
    Ok(Exit::Done)
}
