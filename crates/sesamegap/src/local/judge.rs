//! Promises about saves and answers, checked from what callers were told and the stand-ins ran.

use super::caller::{Fared, Outcome};
use super::drive::Sent;
use super::traffic::What;
use sesamegap_standin::Executions;

/// Compares what callers were told with what the stand-ins ran; each broken promise is a sentence.
pub fn judge(sent: &[Sent], executions: &Executions) -> Vec<String> {
    let wrong = sent.iter().filter_map(wrong);
    let untrue = sent.iter().filter_map(|s| untrue(&s.fared, executions));
    wrong.chain(run_twice(executions)).chain(untrue).collect()
}

fn wrong(sent: &Sent) -> Option<String> {
    let Outcome::Wrong(what) = &sent.fared.outcome else {
        return None;
    };
    Some(format!("request {}: {what}", sent.fared.ask.number))
}

fn run_twice(executions: &Executions) -> Vec<String> {
    let twice = executions.keys.iter().filter(|(_, count)| **count > 1);
    twice
        .map(|(key, count)| format!("key {key} ran {count} times"))
        .collect()
}

/// A save that was refused as not run, and was run; or reported whole, and was not.
fn untrue(fared: &Fared, executions: &Executions) -> Option<String> {
    let key = fared.key.as_ref()?;
    let runs = executions.of_key(key);
    let number = fared.ask.number;
    debug_assert!(matches!(fared.ask.what, What::Save), "only saves have keys");
    match &fared.outcome {
        Outcome::Refused(code, ran) if ran == "no" && runs > 0 => Some(format!(
            "save {number} was refused as not run ({code}), and ran"
        )),
        Outcome::Whole if runs == 0 => Some(format!("save {number} was answered and never ran")),
        _ => None,
    }
}
