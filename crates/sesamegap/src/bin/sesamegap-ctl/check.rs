//! `check`: all findings of a file at once.

use anyhow::Result;
use sesamegap::ctl::{Exit, file};
use std::path::PathBuf;

/// Check files without speaking to anyone
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Files with a settings tree, edits or process settings
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub fn run(args: &Args) -> Result<Exit> {
    let mut exit = Exit::Done;
    for path in &args.files {
        match file::check(path) {
            Ok(kind) => crate::print(&format!("{}: {}, fine\n", path.display(), kind.words()))?,
            Err(error) => {
                eprintln!("{error}");
                exit = Exit::Findings;
            }
        }
    }
    Ok(exit)
}
