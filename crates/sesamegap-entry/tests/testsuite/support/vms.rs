//! Entry VMs at loopback addresses of their own that know each other.

use super::{Platform, document, settings, unused_addr};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::gateway;
use sesamegap_entry::intake;
use sesamegap_entry::peers;
use sesamegap_entry::settings::Settings;
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_wire::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    pub core: Arc<Core>,
    pub callers: SocketAddr,
}

/// Starts an entry VM in the network 127.0.`net`.
pub async fn vm(no: usize, net: u8, port: u16, platform: &Arc<Platform>) -> Vm {
    let mut settings = settings(&format!("vm-{no}"), Vec::new());
    settings.listen.loads =
        SocketAddr::new(format!("127.0.{net}.{}", no + 1).parse().unwrap(), port);
    settings.listen.peers = settings.listen.loads;
    let core = Arc::new(Core::new(settings, platform.ports(), Logging::disabled()).unwrap());
    core.adopt(&Arc::new(document(1)), "test");
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    tokio::spawn(gateway::serve(Arc::clone(&core)));
    tokio::spawn(gateway::test_connections(Arc::clone(&core)));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = listener.local_addr().unwrap();
    tokio::spawn(intake::serve(Arc::clone(&core), listener));
    Vm { core, callers }
}

/// Membership update of a VM with these settings.
pub fn member_update(settings: &Settings, status: Status, version: u32) -> MemberUpdate {
    MemberUpdate {
        who: ProcessId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(1),
        },
        addr: settings.listen.peers,
        version,
        status,
    }
}

/// Starts VMs in the network 127.0.`net` that have each other as members.
pub async fn vms(count: usize, net: u8) -> Vec<Vm> {
    vms_on(count, net, &Arc::new(Platform::default())).await
}

/// Starts VMs in the network 127.0.`net` that share a platform and have each other as members.
pub async fn vms_on(count: usize, net: u8, platform: &Arc<Platform>) -> Vec<Vm> {
    let port = unused_addr().port();
    let mut all = Vec::new();
    for no in 0..count {
        all.push(vm(no, net, port, platform).await);
    }
    for one in &all {
        for other in &all {
            let update = member_update(&other.core.settings(), Status::Alive, 0);
            if !Arc::ptr_eq(&one.core, &other.core) {
                one.core.peers.apply_update(&update, clock::now());
            }
        }
    }
    all
}
