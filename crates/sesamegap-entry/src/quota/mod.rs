//! Rate limits of teams, enforced by all entry VMs together.
//!
//! [`admit`] charges a request to its team before it is placed: at the VM that pools the team's shard, with one
//! datagram each way, or at this VM. The rights to charge are exchanged in datagrams too ([`tick`], [`receive`]). The
//! policy is in [`sesamegap_policy::quota`].

mod charge;
mod client;

pub use charge::Charged;
pub use client::{QuotaClient, receive, stop, tick};

use crate::clock;
use crate::core::Core;
use crate::job::Job;
use crate::refusal::Refusal;
use crate::telemetry::events;
use sesamegap_policy::quota::Verdict;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::info;

/// How often a request without rights asks again.
const RIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Charges a request to its team, if the team has a rate limit.
///
/// # Errors
/// If the team's limit is used up, or if too few VMs agree on it; the error is the caller's response.
pub async fn admit(core: &Arc<Core>, job: &Job) -> Result<Option<Charged>, Refusal> {
    let Some(team) = &job.team else {
        return Ok(None);
    };
    let Some(quota) = &team.quota else {
        return Ok(None);
    };
    let cost = quota.cost(job.head.usage);
    let deadline = job.wait_deadline();
    loop {
        let (verdict, target) = client::charge(core, job, &team.name, quota.limit, cost).await;
        let (wait, refusal) = match verdict {
            Verdict::Granted => {
                let charged = Charged::new(Arc::clone(core), team.name.clone(), cost, target);
                return Ok(Some(charged));
            }
            Verdict::OverLimit(wait) => (wait, Refusal::OverQuota(wait)),
            Verdict::NoRights(wait) => (RIGHTS_POLL_INTERVAL, Refusal::NoQuotaRights(wait)),
        };
        if Instant::now() + wait >= deadline {
            core.metrics.count_quota_refusal(refusal.status().as_u16());
            info!(event = events::QUOTA_REFUSED, request = %job.head.id, team = %team.name, cost, revision = job.catalogue.revision().0, at = ?target, verdict = ?verdict, retry_ms = clock::millis(wait), "refused for the team's rate limit");
            return Err(refusal);
        }
        sleep(wait).await;
    }
}
