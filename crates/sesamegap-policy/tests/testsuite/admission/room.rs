use super::{background, engine, ms, urgent};
use sesamegap_policy::admission::{Backlog, Keep};

fn keep(reserve: u32) -> Keep {
    Keep {
        reserve,
        exceed: false,
    }
}

/// Guards against a burst of background prompts that makes urgent ones on the same engine late.
#[test]
fn background_work_leaves_an_urgent_prompt_its_objective() {
    // 400 ms at 30 tokens per millisecond.
    assert!(engine(3_000, 3_000).has_room(&background(1), keep(0)));
    assert!(!engine(3_001, 3_001).has_room(&background(1), keep(0)));
}

/// Guards against urgent prompts that are put off by background work, which their engine does after them.
#[test]
fn an_urgent_prompt_does_not_count_background_work() {
    assert!(engine(90_000, 0).has_room(&urgent(1), keep(0)));
    assert!(!engine(90_000, 12_000).has_room(&urgent(1), keep(0)));
}

/// Guards against prompts that never run since they are longer than any objective permits.
#[test]
fn an_idle_engine_takes_a_prompt_of_any_length() {
    let mut long = background(1);
    long.tokens = 500_000;
    assert!(engine(0, 0).has_room(&long, keep(0)));
    assert!(!engine(1, 1).has_room(&long, keep(0)));
}

/// Guards against background prompts in all slots, so that urgent ones wait until one is free.
#[test]
fn background_prompts_leave_the_reserve() {
    let busy = |running, urgent| Backlog {
        running,
        urgent,
        ..engine(0, 0)
    };
    assert!(busy(12, 0).has_room(&background(1), keep(3)));
    assert!(!busy(13, 0).has_room(&background(1), keep(3)));
    assert!(
        busy(13, 1).has_room(&background(1), keep(3)),
        "one urgent prompt uses its slot"
    );
    let beyond = Keep {
        exceed: true,
        ..keep(3)
    };
    assert!(busy(15, 0).has_room(&urgent(1), keep(3)));
    assert!(
        !busy(16, 0).has_room(&urgent(1), keep(3)),
        "others may have a free slot"
    );
    assert!(busy(16, 0).has_room(&urgent(1), beyond));
    assert!(
        !busy(20, 0).has_room(&urgent(1), beyond),
        "a bound on what an engine holds"
    );
}

/// Guards against VMs that hear of no owner and fill an engine together: each sends one prompt at a time.
#[test]
fn a_vm_that_decides_alone_sends_one_prompt_at_a_time() {
    let mut ask = urgent(1);
    ask.alone = true;
    assert!(engine(0, 0).has_room(&ask, keep(0)));
    let own = Backlog {
        own: 800,
        ..engine(800, 800)
    };
    assert!(!own.has_room(&ask, keep(0)));
    ask.alone = false;
    assert!(own.has_room(&ask, keep(0)));
}

/// The time to room counts what the prompt has waited already.
#[test]
fn waiting_uses_up_the_objective() {
    let mut ask = urgent(1);
    assert_eq!(engine(6_000, 6_000).time_to_room(&ask), ms(0));
    ask.waited = ms(200);
    assert!(engine(6_000, 6_000).time_to_room(&ask) > ms(100));
}

/// Guards against a heavy team that fills the engines up to the objective, so that light teams' prompts find no room.
#[test]
fn prompts_beyond_a_teams_share_find_room_only_where_little_waits() {
    let mut ask = background(1);
    ask.urgent_objective = None;
    assert!(engine(20_000, 20_000).has_room(&ask, keep(0)));
    ask.excess = true;
    assert!(!engine(20_000, 20_000).has_room(&ask, keep(0)));
    assert!(engine(0, 0).has_room(&ask, keep(0)));
}
