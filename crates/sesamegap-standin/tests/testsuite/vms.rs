//! The VM list and its lag.

use crate::support::{PATIENCE, plan, platform_limits, settings, start, url};
use sesamegap_platform::{HttpVms, VmEntry, VmList, VmRole, VmState};
use sesamegap_standin::{Fault, Hit};
use sesamegap_wire::SoftwareVersion;
use std::time::Duration;

fn entry() -> VmEntry {
    let role = VmRole::Entry {
        vm: "vm-1".parse().unwrap(),
        locator: "127.0.0.1:2".parse().unwrap(),
    };
    VmEntry {
        role,
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        state: VmState::Live,
        software: SoftwareVersion::default(),
    }
}

#[tokio::test]
async fn the_list_shows_upstreams_and_entry_vms() {
    let deployment = start(plan().store().workers("desk".parse().unwrap(), 1)).await;
    deployment.enlist(&entry());
    let vms = HttpVms::new(url(deployment.addresses().vms), settings());
    let list = vms.list().await.unwrap();
    assert_eq!(list.len(), 5);
    assert!(list.contains(&entry()));
    deployment.delist(entry().addr);
    assert_eq!(vms.list().await.unwrap().len(), 4);
}

/// The platform knows that a VM is leaving long before its list shows it.
#[tokio::test]
async fn a_leaving_vm_shows_only_after_the_lag() {
    let leaving = |list: Vec<VmEntry>| list.iter().any(|vm| vm.state == VmState::Leaving);
    for (lag, shown) in [(Duration::ZERO, true), (PATIENCE, false)] {
        let mut limits = platform_limits();
        limits.lag = lag;
        let deployment = start(plan().platform(limits)).await;
        deployment.enlist(&entry());
        let vms = HttpVms::new(url(deployment.addresses().vms), settings());
        deployment
            .fault(Hit::once(Fault::VmLeaving), Some("vm-1"))
            .unwrap();
        assert_eq!(leaving(vms.list().await.unwrap()), shown);
    }
}
