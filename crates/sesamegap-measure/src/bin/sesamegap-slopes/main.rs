//! Prints what state, decisions and messages cost as their size grows.
//!
//! Without a subject all are measured, one after another; memory is truest with one subject.

use anyhow::Result;
use clap::{Parser, ValueEnum};
use sesamegap_measure::slopes::{Subject, measure};

/// Measures slopes of memory, time and message size.
#[derive(Debug, Parser)]
struct Args {
    /// One subject only.
    #[arg(long)]
    subject: Option<Subject>,
    /// Divides all sizes, for a quick try.
    #[arg(long, default_value_t = 1)]
    shrink: usize,
    /// Prints JSON, a line a figure.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let subjects = match args.subject {
        Some(subject) => vec![subject],
        None => Subject::value_variants().to_vec(),
    };
    for subject in subjects {
        for row in measure(subject, args.shrink) {
            if args.json {
                println!("{}", serde_json::to_string(&row)?);
            } else {
                println!("{row}");
            }
        }
    }
    Ok(())
}
