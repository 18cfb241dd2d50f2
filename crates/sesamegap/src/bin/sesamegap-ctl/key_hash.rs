//! `key-hash`: the hash under which a key is written into settings.

use anyhow::{Context, Result, ensure};
use sesamegap::ctl::Exit;
use sesamegap_settings::key_hash;
use std::io;

/// Hash a key for the settings; without one it is read from standard input
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The key; better given on standard input, where no process list shows it
    #[arg(value_name = "KEY")]
    text: Option<String>,
}

pub fn run(args: &Args) -> Result<Exit> {
    let key = args.text.clone().map_or_else(read_line, Ok)?;
    ensure!(!key.is_empty(), "an empty key belongs to everyone");
    crate::print(&format!("{}\n", key_hash(&key)))?;
    Ok(Exit::Done)
}

fn read_line() -> Result<String> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .context("cannot read the key")?;
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}
