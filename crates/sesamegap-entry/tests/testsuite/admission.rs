//! Prompts that the engines have no room for.

use crate::support::{Act, Process, Upstream, ask};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Flight, PromptShape, Selection, Shard};
use sesamegap_entry::placing::{PlacementClient, PlacementMessage, PromptReport};
use sesamegap_entry::settings::{LoadControl, Settings};
use sesamegap_policy::routing::engines::Prompt;
use sesamegap_policy::routing::shards::Division;
use std::net::SocketAddr;
use std::time::Duration;

const PROMPT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

/// Tokens of each prompt in the backlog; ten of them are seconds of work.
const TOKENS: u64 = 20_000;

fn admit_by_backlog(core: &Core) {
    let settings = Settings {
        load_control: LoadControl { admission: true },
        ..Settings::clone(&core.settings())
    };
    core.reload(settings);
}

/// Counts a prompt at the engine as long as the flight is held.
fn send(core: &Core) -> Flight {
    let shape = PromptShape {
        model: "m".into(),
        prompt: Prompt {
            prefixes: Vec::new(),
            tokens: TOKENS,
        },
    };
    let selection = Selection {
        service: &"engines".parse().unwrap(),
        domain: &"hall-a".parse().unwrap(),
        stores: &[],
        shape: Some(&shape),
        tried: &[],
        tie_breaker: 0,
        shard: None,
        least_loaded: false,
        software: None,
        terms: None,
        left: Duration::ZERO,
        alone: false,
    };
    core.fleet.choose(&selection, clock::now()).unwrap()
}

/// Guards against prompts that are sent to engines with seconds of work before them, where they end late or rejected,
/// and against callers who are not told when to return.
#[tokio::test]
async fn a_prompt_whose_turn_comes_too_late_is_refused_and_reaches_no_engine() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Events(1..3)]).await;
    process.add("e1", "engines", engine.addr);
    admit_by_backlog(&process.core);
    let backlog: Vec<Flight> = (0..10).map(|_| send(&process.core)).collect();
    let answer = ask(process.callers, "POST", "/chat/", PROMPT, "ask").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(engine.seen(), Vec::<String>::new());
    drop(backlog);
    let answer = ask(process.callers, "POST", "/chat/", PROMPT, "ask").await;
    assert_eq!(answer.status, 200);
}

/// Guards against decisions in deployments that do not call for them.
#[tokio::test]
async fn without_the_setting_a_prompt_is_sent_whatever_the_backlog() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Events(1..3)]).await;
    process.add("e1", "engines", engine.addr);
    let _backlog: Vec<Flight> = (0..10).map(|_| send(&process.core)).collect();
    let answer = ask(process.callers, "POST", "/chat/", PROMPT, "ask").await;
    assert_eq!(answer.status, 200);
}

/// Queued reports, with the owners that they are for.
fn reports(client: &PlacementClient) -> Vec<(SocketAddr, PromptReport)> {
    let queued = client.take_reports().into_iter();
    let reports = queued.filter_map(|(to, message)| match message {
        PlacementMessage::Reports(reports) => {
            Some(reports.into_iter().map(move |report| (to, report)))
        }
        _ => None,
    });
    reports.flatten().collect()
}

/// Guards against a new owner of a shard that takes the engines for idle and fills them a second time, and against a
/// former one that was only paused and counts prompts it no longer hears of.
#[tokio::test]
async fn the_next_owner_of_a_shard_is_told_of_the_prompts_there() {
    let process = Process::new().await;
    let engine = Upstream::start(Vec::new()).await;
    process.add("e1", "engines", engine.addr);
    let client = &process.core.placement_client;
    let (former, next): (SocketAddr, SocketAddr) = (
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
    );
    let shard = Shard {
        division: Division::from_bits(3),
        number: 5,
    };
    let flight = send(&process.core);
    let (prompt, _answer) = client.start_query(former, shard, clock::now());
    prompt.record_placed(&flight, Duration::from_secs(5), clock::now());
    let number = prompt.number();
    assert_eq!(reports(client), Vec::new());
    let (_other, _answer) = client.start_query(next, shard, clock::now());
    let told = reports(client);
    assert!(told.contains(&(former, PromptReport::Ended(number))));
    let is_told = |(to, report): &(SocketAddr, PromptReport)| {
        *to == next
            && matches!(report, PromptReport::Began { number: at, tokens: TOKENS, .. } if *at == number)
    };
    assert!(told.iter().any(is_told), "{told:?}");
    prompt.report_read();
    assert_eq!(reports(client), vec![(next, PromptReport::Read(number))]);
}
