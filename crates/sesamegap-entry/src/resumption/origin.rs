//! Looks up which version began a stream that a caller takes up again.

use super::client::{record_vms, testimony};
use super::log;
use crate::clock;
use crate::core::Core;
use crate::job::Job;
use crate::refusal::Refusal;
use crate::telemetry::events;
use sesamegap_policy::resumption::{
    self, Answer, Message, Origin, Question, Testimony, Verdict, decide, decide_by_log,
    is_in_touch, needs_list, needs_log,
};
use sesamegap_wire::ServiceId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tracing::info;

/// Timeout of a question, after which it is sent once more: several times a round trip, and the time for which a small
/// VM may have to wait for its share of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// How often a question is sent to a VM that does not answer.
const SENDS: u32 = 2;

/// Answers of other VMs about a stream.
#[derive(Debug, Default)]
struct Answers {
    /// Number of VMs asked.
    asked: usize,
    given: Vec<Answer>,
}

/// The version at which a request must run, or `None` if it does not take a stream up again.
///
/// # Errors
/// If the stream cannot go on, or not at a version that this VM can tell; the error is the caller's response.
pub async fn find_origin(core: &Core, job: &Job) -> Result<Option<Origin>, Refusal> {
    if !job.takes_up() {
        return Ok(None);
    }
    let window = resumption::window(job.route.timeout);
    let services = job.services();
    let answers = match core.resumption.record(job.stream_key()) {
        Some(origin) => Answers {
            asked: 0,
            given: vec![Answer::Record(origin)],
        },
        None => ask(core, job, &services, window).await,
    };
    let mut own = testimony(core, &services, window);
    let followed = core.fleet.lock().list_followed_for(clock::now());
    let has_followed = followed.is_some_and(|time| time >= window);
    let is_in_touch = is_in_touch(answers.asked, answers.given.len());
    let mut verdict = decide(&own, &answers.given);
    if needs_log(&verdict, &answers.given, has_followed, is_in_touch) {
        let log = log::find(core, job.stream_key()).await;
        verdict = decide_by_log(verdict, log, &own, &answers.given);
    }
    if needs_list(&verdict, is_in_touch) {
        verdict = if core.resumption.list.read(core).await {
            own = testimony(core, &services, window);
            decide(&own, &answers.given)
        } else {
            Verdict::Unread
        };
    }
    let found = match &verdict {
        Verdict::At(origin, _) => place(core, job, &services, origin, &own),
        // The record may be at a VM that does not answer now.
        Verdict::Ambiguous if answers.given.len() < answers.asked => Err(Refusal::UnknownOrigin),
        Verdict::Ambiguous => Err(Refusal::NotResumable),
        Verdict::Uninformed | Verdict::Unread => Err(Refusal::UnknownOrigin),
    };
    let informed = answers.given.iter().filter_map(Answer::testimony);
    info!(
        event = events::RESUMED,
        request = %job.head.id,
        resumes = job.head.resumes.as_deref(),
        after = job.head.after.as_deref(),
        ?verdict,
        asked = answers.asked,
        answered = answers.given.len(),
        informed = informed.filter(|testimony| testimony.complete).count(),
        versions = own.origins.len(),
        followed_ms = followed.map(clock::millis),
        in_touch = is_in_touch,
        window_ms = clock::millis(window),
        refused = found.as_ref().err().map(tracing::field::display),
        "a caller takes a stream up again"
    );
    core.metrics
        .count_resumption(label(&verdict, found.is_ok()));
    found.map(Some)
}

/// Moves an origin to the service of the request's route, if the route has changed meanwhile.
fn place(
    core: &Core,
    job: &Job,
    services: &[ServiceId],
    origin: &Origin,
    own: &Testimony,
) -> Result<Origin, Refusal> {
    let is_target = services.contains(&origin.service);
    let service = if is_target {
        &origin.service
    } else {
        job.service()
    };
    let fleet = core.fleet.lock();
    if fleet.is_version_gone(service, &origin.software, &[], clock::now()) {
        // A version that was never listed here has just appeared, or was missed.
        let is_missed = is_target && !own.origins.contains(origin);
        return Err(if is_missed {
            Refusal::UnknownOrigin
        } else {
            Refusal::NotResumable
        });
    }
    Ok(Origin {
        service: service.clone(),
        software: origin.software.clone(),
    })
}

/// Asks the VMs that may hold the record of a stream.
async fn ask(core: &Core, job: &Job, services: &[ServiceId], window: Duration) -> Answers {
    let stream = job.stream_key();
    let mut silent: Vec<SocketAddr> = record_vms(core, stream).collect();
    let mut answers = Answers {
        asked: silent.len(),
        given: Vec::new(),
    };
    let mut pending = core.resumption.start_question();
    let message = Message::Ask(Question {
        number: pending.number,
        stream,
        services: services.to_vec(),
        window_ms: clock::wire_millis(window),
    });
    for _ in 0..SENDS {
        for vm in &silent {
            core.resumption.send(&message, *vm);
        }
        let until = Instant::now() + ANSWER_TIMEOUT;
        while !silent.is_empty() {
            let Ok(Some((from, answer))) = timeout_at(until, pending.answers.recv()).await else {
                break;
            };
            let Some(at) = silent.iter().position(|vm| *vm == from) else {
                continue;
            };
            silent.swap_remove(at);
            let is_record = answer.record().is_some();
            answers.given.push(answer);
            if is_record {
                return answers;
            }
        }
    }
    answers
}

/// The metric label of an outcome.
fn label(verdict: &Verdict, is_placed: bool) -> &'static str {
    match verdict {
        Verdict::At(..) if !is_placed => "version_gone",
        Verdict::At(_, resumption::Evidence::Record) => "record",
        Verdict::At(_, resumption::Evidence::Log) => "log",
        Verdict::At(_, resumption::Evidence::OnlyVersion) => "only_version",
        Verdict::At(_, resumption::Evidence::AloneBefore) => "alone_before",
        Verdict::Ambiguous => "ambiguous",
        Verdict::Uninformed => "uninformed",
        Verdict::Unread => "unread",
    }
}
