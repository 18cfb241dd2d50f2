//! A story as text.

use super::belief::Moment;
use super::line::{self, Line, Said, Step, Topic};
use super::story::Story;
use std::fmt::Write;
use time::{Duration, OffsetDateTime};

/// Tells a story, in order of time.
pub fn tell(story: &Story) -> String {
    let mut out = format!("request {}\n", story.id);
    if let Some(end) = story.end()
        && let Some(took) = end.number("took_ms")
    {
        // Whole milliseconds would let it be taken in after it was sent.
        let first = story.steps.first().map_or(end.at, |line| line.at);
        put(
            &mut out,
            &dated((end.at - ms(took)).min(first), end, "taken in"),
        );
    }
    for (line, moment) in story.steps.iter().zip(&story.beliefs.moments) {
        put(&mut out, &dated(line.at, line, &step(line)));
        if matches!(line.step(), Some(Step::Sent(_) | Step::Refused)) {
            believed(&mut out, line, moment);
        }
        if matches!(line.step(), Some(Step::Held(_))) {
            standing(&mut out, line, moment);
        }
    }
    for line in &story.beliefs.troubles {
        let before = story.last().unwrap_or(line.at) - line.at;
        let before = before.as_seconds_f64();
        let words = plain(line);
        put(
            &mut out,
            &format!(
                "trouble {before:.3} s before the end on {}: {words}",
                line.vm
            ),
        );
    }
    if story.beliefs.room.over > 0 {
        put(
            &mut out,
            &format!("lines left out: {}", story.beliefs.room.over),
        );
    }
    put(&mut out, &format!("outcome: {}", outcome(story)));
    out
}

/// What the VM knew at a line of the upstreams that had ended under the request.
fn standing(out: &mut String, step: &Line, moment: &Moment) {
    let about = |line: &&Line| matches!(line.said, Said::Belief(Topic::Request(_)));
    let known = moment.before.iter().find(about);
    let words = known.map_or_else(
        || "not in these logs: which upstreams ended under it".to_owned(),
        |line| {
            let age = (step.at - line.at).as_seconds_f64();
            format!("known for {age:.3} s: {}", plain(line))
        },
    );
    put(out, &format!("    {words}"));
}

/// What the VM believed at a line, and what changed until the end.
fn believed(out: &mut String, step: &Line, moment: &Moment) {
    for line in &moment.before {
        let age = (step.at - line.at).as_seconds_f64();
        put(
            out,
            &format!("    believed for {age:.3} s: {}", plain(line)),
        );
    }
    // Nobody is to take silence for a belief.
    let has = |wanted: fn(&Said) -> bool| moment.before.iter().any(|line| wanted(&line.said));
    if !has(|said| *said == Said::Belief(Topic::Document)) {
        put(
            out,
            "    not in these logs: when its document came into force there",
        );
    }
    if let Some(Step::Sent(upstream)) = step.step()
        && !has(|said| matches!(said, Said::Belief(Topic::Upstream(..))))
    {
        put(
            out,
            &format!("    not in these logs: what this VM believed of {upstream} before"),
        );
    }
    // All VMs hear the same of an engine within a moment; the first one says when.
    for same in moment.after.chunk_by(|a, b| plain(a) == plain(b)) {
        let (line, others) = (&same[0], same.len() - 1);
        let later = (line.at - step.at).as_seconds_f64();
        let words = plain(line);
        let words = match others {
            0 => format!("{}: {words}", line.vm),
            _ => format!("{} and {others} more: {words}", line.vm),
        };
        put(out, &format!("    {later:.3} s later on {words}"));
    }
}

/// What a line of a request says, in words.
fn step(line: &Line) -> String {
    let part = |name, before, after| part(line, name, before, after);
    match line.step() {
        Some(Step::Refused) => {
            let by = part("revision", " by document revision ", "");
            format!("refused{by}{}", ended(line))
        }
        Some(Step::Sent(upstream)) => [
            format!("sent to {upstream}"),
            part("running", " with ", " requests"),
            part("unread", " and ", " unread tokens"),
            part("tokens", "; own tokens ", ""),
            part("weights", "; weights ", ""),
            part("overtaken_ms", ", overtaken ", " ms ago"),
            part("fetch", "; fetches from ", ""),
            part("save", "; saves to ", ""),
            part("revision", "; document revision ", ""),
            part("left_ms", "; ", " ms left"),
        ]
        .concat(),
        Some(Step::Failed(upstream)) => {
            let passed = part("passed", "; last event passed on ", "");
            format!("{} at {upstream}{}{passed}", line.message, ended(line))
        }
        Some(Step::Broke(upstream)) => [
            format!("its connection to {upstream} broke"),
            part("ran_ms", " after ", " ms"),
            part("process", "; the process: ", ""),
            part("beside", "; beside ", " requests"),
        ]
        .concat(),
        Some(Step::Held(_)) => format!("{}{}", line.message, part("grant", ": ", "")),
        Some(Step::Ended | Step::Left) => [
            line.message.clone(),
            part("took_ms", " after ", " ms"),
            ended(line),
            part("first_ms", "; first event after ", " ms"),
            part("pause_ms", "; longest pause ", " ms"),
            part("runs", "; runs ", ""),
        ]
        .concat(),
        None => plain(line),
    }
}

/// How a request ended, in one line.
fn outcome(story: &Story) -> String {
    let Some(end) = story.end() else {
        return "no end is logged: its VM was killed or serves it yet, or these logs end before"
            .to_owned();
    };
    let took = part(end, "took_ms", " after ", " ms");
    let words = ended(end);
    match end.step() {
        Some(Step::Left) => format!("its caller left{took}, before its answer ended"),
        Some(Step::Refused) => format!("refused before it was placed{words}"),
        _ if end.number("status").is_some_and(|status| status >= 400) => {
            format!("failed{took}{words}")
        }
        _ if !end.text("why").is_empty() => format!("broke off{took}{words}"),
        _ => {
            let begun = part(end, "first_ms", ", begun after ", " ms");
            format!("answered{took}{words}{begun}{}", weights(story, end))
        }
    }
}

/// The weights that were asked for, and how long before the answer began they were overtaken if they
/// were when it was sent.
fn weights(story: &Story, end: &Line) -> String {
    let sent = |line: &&Line| matches!(line.step(), Some(Step::Sent(_)));
    let Some(sent) = story.steps.iter().rfind(sent) else {
        return String::new();
    };
    let weights = part(sent, "weights", " on weights ", "");
    let numbers = ["took_ms", "first_ms"].map(|name| end.number(name));
    let (Some(overtaken), [Some(took), Some(first)]) = (sent.number("overtaken_ms"), numbers)
    else {
        return weights;
    };
    let age = ms(overtaken) + (end.at - ms(took) + ms(first) - sent.at);
    format!(
        "{weights}, overtaken {} ms before",
        age.whole_milliseconds()
    )
}

/// The status and reason of a line.
fn ended(line: &Line) -> String {
    let why = if line.text("why").is_empty() {
        ""
    } else {
        ": "
    };
    part(line, "status", " with status ", "") + &part(line, "why", why, "")
}

/// A line's text with its fields.
fn plain(line: &Line) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<_> = fields
        .map(|(name, value)| format!("{name} {}", line::text(value)))
        .collect();
    format!("{} ({})", line.message, fields.join(", "))
}

/// A field between words; nothing if the line lacks it.
fn part(line: &Line, name: &str, before: &str, after: &str) -> String {
    if line.fields.contains_key(name) {
        format!("{before}{}{after}", line.text(name))
    } else {
        String::new()
    }
}

fn dated(at: OffsetDateTime, line: &Line, words: &str) -> String {
    let (hour, minute, second, part) = at.time().as_hms_milli();
    format!(
        "{hour:02}:{minute:02}:{second:02}.{part:03}  {}  {words}",
        line.vm
    )
}

fn ms(count: u64) -> Duration {
    Duration::milliseconds(i64::try_from(count).unwrap_or(i64::MAX))
}

fn put(out: &mut String, line: &str) {
    writeln!(out, "{line}").expect("text takes all");
}
