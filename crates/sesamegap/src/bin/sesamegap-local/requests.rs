//! Sends some of the site's requests and prints the measures.

use super::Cli;
use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use sesamegap::local::{Deployment, Drive, Report, drive};
use sesamegap_standin::{Fault, Hit, Span};
use sesamegap_wire::UpstreamId;
use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

/// How long a fault that has a duration lasts.
const LASTS: Duration = Duration::from_secs(3);

pub async fn run(cli: &Cli, deployment: Deployment, requests: usize) -> Result<ExitCode> {
    for name in &cli.fault {
        let fault: Fault = name.parse()?;
        let hit = Hit {
            fault,
            span: Span::For(LASTS),
            at: None,
        };
        let standins = deployment.standins();
        let target = standins.addresses().engines.keys().next().cloned();
        let target = target.as_ref().map(UpstreamId::as_str);
        standins
            .fault(hit, target)
            .with_context(|| format!("fault {name}"))?;
    }
    let drive_ = Drive {
        count: requests,
        seed: cli.seed,
        progress: progress(requests as u64),
    };
    let sent = drive(&deployment, drive_).await?;
    let report = Report::new(cli.site.name(), cli.seed, &sent);
    deployment.stop().await;
    if cli.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.is_sound() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

pub fn progress(requests: u64) -> ProgressBar {
    let bar = ProgressBar::new(requests);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}
