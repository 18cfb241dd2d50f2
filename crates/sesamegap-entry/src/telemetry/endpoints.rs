//! Metrics and a dump of state, for operators on the VM's own network.

use super::metrics::Levels;
use crate::clock;
use crate::core::Core;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler};
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use std::sync::Arc;

/// The endpoints for operators.
pub fn endpoints(core: Arc<Core>) -> impl IntoEndpoint {
    Route::new()
        .at("/metrics", get(metrics))
        .at("/dump", get(dump))
        .data(core)
}

#[handler]
fn metrics(Data(core): Data<&Arc<Core>>) -> poem::Result<String> {
    let levels = Levels {
        active: core.active(),
        revision: core.revision().0,
        timeline: core.store.timeline().0,
        upstreams: core.fleet.lock().upstreams().count(),
        peers: core.peers.known().alive.len(),
        dropped: core.logging.dropped(),
    };
    core.metrics.text(levels).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// What a process believes, without keys, prompts or teams.
#[derive(Debug, Serialize)]
struct Dump {
    vm: SmolStr,
    phase: SmolStr,
    revision: u64,
    active: usize,
    upstreams: Vec<UpstreamDump>,
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
    heard_ms_ago: u64,
    weights: Vec<(SmolStr, u32)>,
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
        state: smol_str::format_smolstr!("{:?}", fleet.openness(up, now)),
        running: fleet.running(up, now),
        unread: fleet.unread(up),
        heard_ms_ago: clock::ms(now.since(up.heard)),
        weights: up
            .entry
            .weights
            .iter()
            .map(|w| (w.model.clone(), w.version.0))
            .collect(),
    });
    let known = core.peers.known();
    Json(Dump {
        vm: core.settings().vm.to_smolstr(),
        phase: smol_str::format_smolstr!("{:?}", core.phase()),
        revision: core.revision().0,
        active: core.active(),
        upstreams: upstreams.collect(),
        peers: known.alive,
        doubted: known.doubted,
    })
}
