//! `explain`: one request's story out of the logs of several VMs.

use anyhow::{Context, Result};
use sesamegap::ctl::Exit;
use sesamegap::ctl::explain::{Counts, Source, Story, tell};
use smol_str::SmolStr;
use std::io;
use std::path::PathBuf;

/// Tell one request's story out of the logs of several VMs
///
/// Times are those of each VM's own clock. Exit codes: 0 found; 1 not found, or a file cannot be
/// read, after what the others tell; 2 wrong usage.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The request's id
    #[arg(value_parser = clap::builder::NonEmptyStringValueParser::new())]
    id: String,
    /// Logs; a VM is named by the last word before a line's first `{`, or else by the file's name.
    /// Left out, standard input
    files: Vec<PathBuf>,
}

pub fn run(args: &Args) -> Result<Exit> {
    let id = SmolStr::from(&args.id);
    let mut counts = Counts::default();
    let sources = if args.files.is_empty() {
        let held = Source::hold(io::stdin().lock(), &mut counts, &id);
        vec![held.context("cannot read standard input")?]
    } else {
        args.files.iter().cloned().map(Source::File).collect()
    };
    let story = Story::read(id, &sources, counts);
    let mut exit = warn(args, &story);
    if story.steps.is_empty() {
        eprintln!("no line names request {}", story.id);
        exit = Exit::Failed;
    } else {
        crate::print(&tell(&story))?;
    }
    Ok(exit)
}

/// Says what could not be read, since a story may lack it.
fn warn(args: &Args, story: &Story) -> Exit {
    let Counts {
        unreadable,
        dropped,
    } = story.counts;
    if unreadable > 0 {
        eprintln!("lines that cannot be read: {unreadable}");
    }
    if dropped > 0 {
        eprintln!("lines dropped, since there were too many: {dropped}");
    }
    for (place, error) in &story.failed {
        let file = args.files.get(*place).map(|path| path.display());
        if let Some(file) = file {
            eprintln!("cannot read {file}: {error}");
        }
    }
    if story.failed.is_empty() {
        Exit::Done
    } else {
        Exit::Failed
    }
}
