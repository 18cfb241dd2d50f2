//! `publish`: a tree or edits, repeated until the outcome is known.

use anyhow::Result;
use sesamegap::admin::ChangeAnswer;
use sesamegap::ctl::publish::{self, Publication};
use sesamegap::ctl::{Client, Exit, file};
use sesamegap_settings::ChangeId;
use sesamegap_wire::Offset;
use smol_str::SmolStr;
use std::path::PathBuf;

/// Publish a tree or edits
#[derive(Debug, clap::Args)]
pub struct Args {
    /// File with `tree` or `edits`
    file: PathBuf,
    /// Revision that the file was made from, as `show` and `diff` tell it
    #[arg(long, value_name = "REV")]
    base: Offset,
    /// Name to publish under
    #[arg(long)]
    by: Option<SmolStr>,
    /// Why
    #[arg(long, default_value = "")]
    note: String,
    /// Id of a former attempt whose outcome is not known
    #[arg(long)]
    id: Option<ChangeId>,
}

pub async fn run(args: &Args, client: &Client) -> Result<Exit> {
    let content = file::publishable(&args.file)?;
    let edits = publish::edits(content, &client.tree().await?)?;
    if edits.is_empty() {
        crate::print("nothing to change\n")?;
        return Ok(Exit::Done);
    }
    let publication = Publication {
        base: args.base,
        by: args
            .by
            .clone()
            .unwrap_or_else(|| client.config().by.clone()),
        note: args.note.clone(),
        id: args.id.unwrap_or_else(publish::fresh_id),
    };
    eprintln!("change {}", publication.id);
    let answer = client.change(&publication.request(edits)).await?;
    Ok(match answer {
        ChangeAnswer::Accepted { revision, .. } => {
            crate::print(&format!("accepted as revision {revision}\n"))?;
            Exit::Done
        }
        ChangeAnswer::Conflict { message, .. } => {
            eprintln!("{message}");
            Exit::Conflict
        }
        ChangeAnswer::Invalid { findings, .. } => {
            eprintln!("{findings}");
            Exit::Findings
        }
        ChangeAnswer::Unknown { message, .. } => {
            eprintln!("{message}");
            Exit::Unknown
        }
        ChangeAnswer::Unavailable { message, .. } => {
            eprintln!("{message}");
            Exit::Failed
        }
    })
}
