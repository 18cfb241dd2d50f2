//! HTTP endpoints for operators on the VM's own network: metrics, a dump of state, and quarantine.

use super::metrics::GaugeValues;
use crate::clock;
use crate::core::Core;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};
use serde::Serialize;
use sesamegap_policy::quarantine::Standing;
use sesamegap_wire::Fingerprint;
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use std::sync::Arc;

/// The endpoints for operators.
pub fn endpoints(core: Arc<Core>) -> impl IntoEndpoint {
    Route::new()
        .at("/metrics", get(metrics))
        .at("/dump", get(dump))
        .at("/quarantine", get(quarantine))
        .at("/quarantine/:request/lift", post(lift))
        .data(core)
}

#[handler]
fn metrics(Data(core): Data<&Arc<Core>>) -> poem::Result<String> {
    let (suspects, quarantined) = count_restricted(core);
    let values = GaugeValues {
        suspects,
        quarantined,
        active: core.active(),
        revision: core.revision().0,
        timeline: core.store.timeline().0,
        upstreams: core.fleet.lock().upstreams().count(),
        peers: core.peers.addrs_by_status().alive.len(),
        limited: core.limits.known.lock().count(),
        partitioned: core.fleet.lock().is_partitioned(),
        answer_bytes: core.answers.held(),
        answer_peak: core.answers.peak(),
        dropped: core.logging.dropped(),
    };
    core.metrics.text(values).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// Numbers of suspect and of quarantined requests and prompt parts.
fn count_restricted(core: &Core) -> (usize, usize) {
    let unix_ms = clock::unix_ms();
    let registry = core.quarantine.registry();
    let records = registry.published(unix_ms);
    let standings = records.map(|record| registry.standing(record.fingerprint, unix_ms));
    let standings: Vec<Standing> = standings.collect();
    let count = |expected| {
        standings
            .iter()
            .filter(|standing| **standing == expected)
            .count()
    };
    (count(Standing::Suspect), count(Standing::Quarantined))
}

/// State of the process, without keys, prompts or teams.
#[derive(Debug, Serialize)]
struct Dump {
    vm: SmolStr,
    phase: SmolStr,
    revision: u64,
    active: usize,
    /// Whether this VM reaches no upstream.
    partitioned: bool,
    upstreams: Vec<UpstreamDump>,
    /// Requests and prompt parts that crashed upstreams.
    quarantine: Vec<RequestDump>,
    peers: Vec<SocketAddr>,
    doubted: Vec<SocketAddr>,
}

#[derive(Debug, Serialize)]
struct UpstreamDump {
    id: SmolStr,
    addr: SocketAddr,
    service: SmolStr,
    leaving: bool,
    lapsed: bool,
    state: SmolStr,
    running: u32,
    unread: u64,
    /// Speed relative to a usual engine.
    speed: f64,
    heard_ms_ago: u64,
    weights: Vec<(SmolStr, u32)>,
}

/// A request or prompt part that crashed upstreams.
#[derive(Debug, Serialize)]
struct RequestDump {
    fingerprint: Fingerprint,
    /// Whether it is a prompt part.
    part: bool,
    standing: SmolStr,
    /// Upstreams that crashed while they ran it.
    ended: usize,
    /// Trials that ended in a crash.
    trials: usize,
    /// Time of its last crash, in Unix milliseconds.
    lost_ms: u64,
    /// Number of times that it was cleared.
    cleared: u32,
}

fn request_dumps(core: &Core) -> Vec<RequestDump> {
    let unix_ms = clock::unix_ms();
    let registry = core.quarantine.registry();
    let records = registry.published(unix_ms);
    records
        .map(|record| RequestDump {
            fingerprint: record.fingerprint,
            part: record.is_part(),
            standing: smol_str::format_smolstr!(
                "{:?}",
                registry.standing(record.fingerprint, unix_ms)
            ),
            ended: record.crashes.len(),
            trials: record.failed_trials(),
            lost_ms: record.lost_ms,
            cleared: record.epoch,
        })
        .collect()
}

#[handler]
fn quarantine(Data(core): Data<&Arc<Core>>) -> Json<Vec<RequestDump>> {
    Json(request_dumps(core))
}

#[handler]
fn lift(Data(core): Data<&Arc<Core>>, Path(request): Path<String>) -> poem::Result<()> {
    let request: Fingerprint = request
        .parse()
        .map_err(|error| poem::Error::new(error, StatusCode::BAD_REQUEST))?;
    if core.quarantine.lift(request) {
        Ok(())
    } else {
        Err(poem::Error::from_status(StatusCode::NOT_FOUND))
    }
}

#[handler]
fn dump(Data(core): Data<&Arc<Core>>) -> Json<Dump> {
    let now = clock::now();
    let fleet = core.fleet.lock();
    let upstreams = fleet.upstreams().map(|up| UpstreamDump {
        id: up.id.to_smolstr(),
        addr: up.entry.addr,
        service: up.entry.service.to_smolstr(),
        leaving: up.entry.leaving,
        lapsed: up.belief.is_lapsed(),
        state: smol_str::format_smolstr!("{:?}", fleet.availability(up, now)),
        running: fleet.running(up, now),
        unread: fleet.unread(up),
        speed: fleet.speed(up, now).ratio(),
        heard_ms_ago: clock::millis(now.since(up.last_received)),
        weights: up
            .entry
            .weights
            .iter()
            .map(|w| (w.model.clone(), w.version.0))
            .collect(),
    });
    let known = core.peers.addrs_by_status();
    Json(Dump {
        vm: core.settings().vm.to_smolstr(),
        phase: smol_str::format_smolstr!("{:?}", core.phase()),
        revision: core.revision().0,
        active: core.active(),
        partitioned: fleet.is_partitioned(),
        upstreams: upstreams.collect(),
        quarantine: request_dumps(core),
        peers: known.alive,
        doubted: known.suspected,
    })
}
