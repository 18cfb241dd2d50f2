//! How a request waits while no upstream can take it.
//!
//! Load: for a moment all upstreams of a service take new weights, are full, or leave, or another suspect
//! is on trial. Prevents refusals for what a moment's wait would serve, and callers held for nothing. An
//! eighth of the objective is waited, then the caller is told when to come back.

use super::Job;
use super::progress::Progress;
use crate::core::Core;
use crate::fleet::Flight;
use crate::intake::Refusal;
use crate::quarantine::{Admission, admit};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Part of the objective that is waited for an upstream.
const PART: u32 = 8;

/// How often the fleet is looked at again; a few typical answers.
const LOOK: Duration = Duration::from_millis(15);

/// How often a suspect asks for its trial: after a lost rack hundreds of them ask one VM.
const ASK: Duration = Duration::from_millis(60);

/// The upstream for a request, waiting a little if none is open.
///
/// # Errors
/// What to answer if there is none, or the request may not run.
pub async fn upstream(core: &Arc<Core>, job: &Job, progress: &Progress) -> Result<Flight, Refusal> {
    let until = job.deadline.min(Instant::now() + job.route.objective / PART);
    loop {
        let mut pause = LOOK;
        let refusal = match admit(core, job).await {
            Admission::Free => match progress.choose(core, job, false).await {
                Some(flight) => return Ok(flight),
                None => Refusal::NoUpstream,
            },
            Admission::Trial(permit) => {
                if let Some(mut flight) = progress.choose(core, job, true).await {
                    flight.permit = Some(permit);
                    return Ok(flight);
                }
                pause = ASK;
                Refusal::NoUpstream
            }
            Admission::Deferred => {
                pause = ASK;
                Refusal::Suspect
            }
            Admission::Refused => return Err(progress.refused(Refusal::Quarantined)),
        };
        if Instant::now() + pause >= until {
            return Err(progress.refused(refusal));
        }
        sleep(pause).await;
    }
}
