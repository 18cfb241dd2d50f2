//! Waits briefly for an upstream when none is available.
//!
//! All upstreams of a service may be loading weights, full or draining, or another suspect request may be on
//! trial. Such states often end within moments, so refusing at once would fail requests that a short wait would
//! serve; a long wait would only keep the caller from retrying. After an eighth of the latency objective the
//! request is refused with a `Retry-After` time.

use super::retry::RetryState;
use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::quarantine::{Admission, admit};
use crate::refusal::Refusal;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the fleet is checked again; the duration of a few typical responses.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// How often a suspect request asks for its trial. After the loss of a rack, hundreds of them ask one VM.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(60);

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
        let mut poll_interval = POLL_INTERVAL;
        let refusal = match admit(core, job).await {
            Admission::Free => match retry.choose(core, job, false).await {
                Some(flight) => return Ok(flight),
                None => Refusal::NoUpstream,
            },
            Admission::Trial(permit) => {
                if let Some(mut flight) = retry.choose(core, job, true).await {
                    flight.permit = Some(permit);
                    return Ok(flight);
                }
                poll_interval = TRIAL_POLL_INTERVAL;
                Refusal::NoUpstream
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
