//! Claims on callers' keys, folded from the log.
//!
//! The first claim on a key in log order holds. Every router folds the same records in the same
//! order, so all agree on the holder.

use super::Holder;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{RequestId, TeamId};
use smol_str::SmolStr;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Claims older than this, by the log's clock, are dropped; the log keeps them no longer either.
const RETENTION_MS: u64 = 60 * 60 * 1000;

/// Claims kept at most; beyond that the oldest goes.
const MOST: usize = 1 << 20;

/// One claim as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim, which names the router life that claims.
    pub id: RequestId,
    /// Team whose key it is.
    pub team: TeamId,
    /// The key.
    pub key: SmolStr,
}

/// A claim that holds.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Who may run the key.
    pub holder: Holder,
    /// When this router learnt of it.
    pub seen: Instant,
    time_ms: u64,
}

/// The claims that hold.
#[derive(Debug, Default)]
pub struct Claims {
    held: FxHashMap<(TeamId, SmolStr), Claim>,
    order: VecDeque<(TeamId, SmolStr)>,
}

impl Claims {
    /// Takes in the next record of the log and says who holds its key.
    pub fn apply(&mut self, time_ms: u64, record: &ClaimRecord) -> Holder {
        self.forget(time_ms);
        let key = (record.team.clone(), record.key.clone());
        if let Some(claim) = self.held.get(&key) {
            return claim.holder.clone();
        }
        let holder = Holder {
            vm: record.id.vm.clone(),
            incarnation: record.id.incarnation,
        };
        let claim = Claim {
            holder: holder.clone(),
            seen: Instant::now(),
            time_ms,
        };
        self.order.push_back(key.clone());
        self.held.insert(key, claim);
        holder
    }

    /// The claim that holds on a key.
    pub fn holder(&self, team: &TeamId, key: &SmolStr) -> Option<Claim> {
        self.held.get(&(team.clone(), key.clone())).cloned()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some(key) = self.order.front() {
            let made = self.held.get(key).map_or(0, |claim| claim.time_ms);
            let fresh = made + RETENTION_MS >= now_ms;
            if fresh && self.order.len() < MOST {
                break;
            }
            if let Some(key) = self.order.pop_front() {
                self.held.remove(&key);
            }
        }
    }
}
