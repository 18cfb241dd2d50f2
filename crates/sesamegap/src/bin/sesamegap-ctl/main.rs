//! `sesamegap-ctl`: check, publish and look at settings, and look into processes and logs.

mod address;
mod check;
mod diff;
mod dump;
mod explain;
mod history;
mod key_hash;
mod publish;
mod show;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use sesamegap::config::{Config, CtlConfig};
use sesamegap::ctl::{Client, Exit};
use smol_str::SmolStr;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable with the operators' key, which keeps it off the command line.
const KEY: &str = "SESAMEGAP_KEY";

/// Checks, publishes and shows settings; shows the state of processes; tells the
/// story of a request from logs.
///
/// Exit codes: 0 done; 1 failed, nothing took effect; 2 findings or wrong usage; 3 conflict,
/// nothing took effect; 4 not known whether it took effect.
#[derive(Debug, Parser)]
#[command(version, name = "sesamegap-ctl")]
struct Cli {
    /// File with addresses and key
    #[arg(long, global = true, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Router to speak to, as http://IP:PORT; may be given several times
    #[arg(long, global = true, value_name = "URL")]
    router: Vec<SmolStr>,
    /// Locator to ask, as http://IP:PORT; may be given several times
    #[arg(long, global = true, value_name = "URL")]
    locator: Vec<SmolStr>,
    /// The operators' key; better in the environment variable `SESAMEGAP_KEY` or in the file
    #[arg(long, global = true, value_name = "KEY")]
    key: Option<SmolStr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(check::Args),
    Publish(publish::Args),
    Diff(diff::Args),
    Show(show::Args),
    History(history::Args),
    Dump(dump::Args),
    Explain(explain::Args),
    Address(address::Args),
    KeyHash(key_hash::Args),
}

impl Cli {
    fn client(&self) -> Result<Client> {
        let mut config = match &self.config {
            Some(file) => CtlConfig::load(file)?,
            None => CtlConfig::default(),
        };
        if !self.router.is_empty() {
            config.routers.clone_from(&self.router);
        }
        if !self.locator.is_empty() {
            config.locators.clone_from(&self.locator);
        }
        let key = self
            .key
            .clone()
            .or_else(|| std::env::var(KEY).ok().map(SmolStr::from));
        config.key = key.or(config.key);
        Ok(Client::new(config)?)
    }

    async fn run(&self) -> Result<Exit> {
        match &self.command {
            Command::Check(args) => check::run(args),
            Command::Publish(args) => publish::run(args, &self.client()?).await,
            Command::Diff(args) => diff::run(args, &self.client()?).await,
            Command::Show(args) => show::run(args, &self.client()?).await,
            Command::History(args) => history::run(args, &self.client()?).await,
            Command::Dump(args) => dump::run(args, &self.client()?).await,
            Command::Explain(args) => explain::run(args),
            Command::Address(args) => address::run(args, &self.client()?).await,
            Command::KeyHash(args) => key_hash::run(args),
        }
    }
}

/// Writes an answer to standard output.
fn print(text: &str) -> Result<()> {
    io::stdout()
        .write_all(text.as_bytes())
        .context("cannot write the answer")
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.run().await {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error:#}");
            Exit::of(&error).into()
        }
    }
}
