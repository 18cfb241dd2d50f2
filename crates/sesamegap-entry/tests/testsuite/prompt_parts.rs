//! Parts of prompts that crash the engines which begin an answer on them.

use crate::support::{CRASH_MARK, Vm, ask, crashing_engines, marked, vms};
use std::time::Duration;

const VMS: usize = 3;
const ENGINES: usize = 6;

/// Time until a crashed engine runs again.
const DOWNTIME: Duration = Duration::from_millis(120);

/// Number of requests with the crashing part.
const SENDS: usize = 40;

/// Maximum number of engines that a part may crash, and of sends that may follow.
const MAX_CRASHES: usize = 5;
const MAX_LATER_SENDS: usize = 3;

/// A prompt with these shared parts and a part of its own.
async fn prompt(vm: &Vm, no: usize, shared: &str) -> u16 {
    let head = format!("x-model: m\r\nx-nonce: {no}\r\nx-parts: {shared},own-{no}\r\n");
    let path = format!("/chat/{no}");
    let answer = ask(vm.callers, "POST", &path, &head, &format!("ask {no}")).await;
    answer.status
}

fn crashing_part() -> String {
    format!("preamble,{CRASH_MARK}-dossier")
}

/// Every request is another one, and only a part of their prompts is the same. Requests were recognized by their whole
/// content, so that none was ever at two crashed engines, and the part crashed one engine after another.
#[tokio::test]
async fn a_prompt_part_that_crashes_its_engines_is_quarantined() {
    let vms = vms(VMS, 31).await;
    let engines = crashing_engines(&vms, ENGINES, DOWNTIME).await;
    for no in 0..SENDS {
        prompt(&vms[no % VMS], no, &crashing_part()).await;
        prompt(&vms[(no + 1) % VMS], SENDS + no, "preamble,other-dossier").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let sent = marked(&engines);
    assert!(sent <= MAX_CRASHES + MAX_LATER_SENDS, "sent {sent} times");
    for (no, vm) in vms.iter().enumerate() {
        let status = prompt(vm, 2 * SENDS + no, "preamble,other-dossier").await;
        assert_eq!(status, 200, "a prompt with the same outer part is held up");
    }
}
