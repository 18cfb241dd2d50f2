//! Waits briefly for an upstream when none is available.
//!
//! All upstreams of a service may be loading weights, full or draining, or another suspect request may be on
//! trial. Such states often end within moments, so refusing at once would fail requests that a short wait would
//! serve; a long wait would only keep the caller from retrying. After an eighth of the latency objective the
//! request is refused with a `Retry-After` time. If it is known before that the limits of all upstreams are used up for
//! longer, it is refused at once.

use super::retry::RetryState;
use crate::clock;
use crate::core::Core;
use crate::fleet::{Flight, NotChosen};
use crate::job::Job;
use crate::limits::acquire::acquire;
use crate::quarantine::{Admission, admit};
use crate::refusal::Refusal;
use crate::telemetry::events;
use sesamegap_policy::admission::{Action, PutOff};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{debug, info};

/// How often the fleet is checked again; the duration of a few typical responses.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// How often a suspect request asks for its trial. After the loss of a rack, hundreds of them ask one VM.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Upstreams without a permit after which a request waits before it looks for others: a question may take 30 ms.
const MAX_UNPERMITTED: usize = 4;

/// Chooses the upstream for a request, waiting briefly if none is available.
///
/// # Errors
/// If no upstream becomes available or the request must not run; the error is the caller's response.
pub async fn wait_for_upstream(
    core: &Arc<Core>,
    job: &Job,
    retry: &RetryState,
) -> Result<Flight, Refusal> {
    let deadline = job.wait_deadline();
    loop {
        if retry.runs == 0 {
            core.check_stop(job.deadline)?;
        }
        let mut poll_interval = POLL_INTERVAL;
        let refusal = match admit(core, job).await {
            Admission::Free => match choose_permitted(core, job, retry, false).await {
                Ok(flight) => return Ok(flight),
                Err(NotChosen::PutOff(put_off)) => {
                    wait_for_turn(core, job, retry, put_off).await?;
                    continue;
                }
                Err(NotChosen::NoUpstream) => refusal_if_none(core, job, retry, deadline)?,
            },
            Admission::Trial(permit) => {
                if let Ok(mut flight) = choose_permitted(core, job, retry, true).await {
                    flight.permit = Some(permit);
                    return Ok(flight);
                }
                poll_interval = TRIAL_POLL_INTERVAL;
                refusal_if_none(core, job, retry, deadline)?
            }
            Admission::Deferred => {
                poll_interval = TRIAL_POLL_INTERVAL;
                Refusal::Suspect
            }
            Admission::Refused => return Err(retry.refusal_unless_run(Refusal::Quarantined)),
        };
        if Instant::now() + poll_interval >= deadline {
            return Err(retry.refusal_unless_run(refusal));
        }
        sleep(poll_interval).await;
    }
}

/// Waits until a prompt that the engines have no room for should ask again.
///
/// # Errors
/// If it is refused: its turn would come too late.
async fn wait_for_turn(
    core: &Core,
    job: &Job,
    retry: &RetryState,
    put_off: PutOff,
) -> Result<(), Refusal> {
    let (ms, is_refused) = match put_off.action {
        Action::Wait(ms) => (ms, false),
        Action::Refuse(ms) => (ms, true),
    };
    let after = Duration::from_millis(u64::from(ms));
    let is_over = is_refused || after >= job.time_left();
    core.metrics.count_put_off(is_over, job.route.priority);
    if !is_over {
        debug!(event = events::PUT_OFF, request = %job.head.id, route = %job.route.name, before = put_off.before, turn_ms = put_off.turn_ms, after_ms = ms, "waits for room at an engine");
        sleep(after).await;
        return Ok(());
    }
    info!(
        event = events::PUT_OFF,
        request = %job.head.id,
        route = %job.route.name,
        priority = job.priority(),
        waited_ms = clock::millis(job.arrival.at.elapsed()),
        before = put_off.before,
        turn_ms = put_off.turn_ms,
        after_ms = ms,
        "refused, its turn would come too late"
    );
    Err(retry.refusal_unless_run(Refusal::Overloaded(after)))
}

/// Chooses an upstream that permits the request; one that does not is passed over from then on.
async fn choose_permitted(
    core: &Arc<Core>,
    job: &Job,
    retry: &RetryState,
    on_trial: bool,
) -> Result<Flight, NotChosen> {
    for _ in 0..MAX_UNPERMITTED {
        let mut flight = retry.choose(core, job, on_trial).await?;
        if let Ok(permit) = acquire(core, &flight.destination(), &job.head.id).await {
            flight.send_permit = Some(permit);
            return Ok(flight);
        }
    }
    Err(NotChosen::NoUpstream)
}

/// Why the request waits if no upstream was chosen.
///
/// # Errors
/// If the limits of all upstreams are used up for longer than it may wait; it is then refused at once.
fn refusal_if_none(
    core: &Core,
    job: &Job,
    retry: &RetryState,
    deadline: Instant,
) -> Result<Refusal, Refusal> {
    let now = clock::now();
    let Some(until) = core.fleet.lock().all_closed_until(&retry.service, now) else {
        return Ok(Refusal::NoUpstream);
    };
    let wait = until.since(now);
    let refusal = Refusal::all_limited(wait, job.hash());
    if Instant::now() + wait < deadline {
        Ok(refusal)
    } else {
        Err(retry.refusal_unless_run(refusal))
    }
}
