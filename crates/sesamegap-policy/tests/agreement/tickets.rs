//! A ticket's request runs at most once, and refusals report correctly whether it ran.

use crate::support::{Pick, check, holder};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::agreement::tickets::{Admission, Ticket, Tickets};
use sesamegap_wire::{Moment, TeamId};
use std::collections::HashMap;
use std::time::Duration;

const LIFETIME: Duration = Duration::from_secs(30);
const CAPACITY: usize = 8;

#[derive(Debug, Clone)]
enum Op {
    Mint(Pick),
    Use { ticket: Pick, team: Pick },
    Pass(Pick),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = Pick::arbitrary(g);
        match Pick::arbitrary(g).below(4) {
            0 => Self::Mint(a),
            1 | 2 => Self::Use {
                ticket: a,
                team: Pick::arbitrary(g),
            },
            _ => Self::Pass(a),
        }
    }
}

fn team(pick: Pick) -> TeamId {
    format!("team-{}", pick.below(2)).parse().expect("valid")
}

/// Callers reuse tickets, present them for the wrong team and after long delays, and exhaust the
/// capacity. Guards against running a request twice, and against reporting a request that ran as
/// certainly not run, after which the caller would send it again.
#[test]
fn a_ticket_runs_once_and_refusals_are_correct() {
    fn property(ops: Vec<Op>) -> bool {
        let mut tickets = Tickets::new(holder(0, 7), LIFETIME, CAPACITY);
        let mut now = Moment(0);
        let mut minted: Vec<(Ticket, TeamId)> = Vec::new();
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for op in ops {
            match op {
                Op::Mint(pick) => {
                    let team = team(pick);
                    minted.extend(tickets.mint(&team, now).map(|ticket| (ticket, team)));
                }
                Op::Use { ticket, team: pick } if !minted.is_empty() => {
                    let (ticket, owner) = &minted[ticket.below(minted.len())];
                    let user = team(pick);
                    let ran = runs.entry(ticket.number).or_default();
                    match tickets.admit(ticket, &user, now) {
                        Admission::Run if user != *owner => return false,
                        Admission::Run => *ran += 1,
                        Admission::Used if *ran == 0 => return false,
                        Admission::Expired if *ran > 0 => return false,
                        Admission::Other(_) => return false,
                        _ => {}
                    }
                    if *ran > 1 {
                        return false;
                    }
                }
                Op::Pass(pick) => now = now + Duration::from_secs(pick.below(25) as u64),
                Op::Use { .. } => {}
            }
            if tickets.len() > CAPACITY {
                return false;
            }
        }
        true
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// The router that issued a ticket is replaced on its VM. The new incarnation must not run the
/// request, because it cannot know whether the old one did.
#[test]
fn a_ticket_of_an_earlier_incarnation_is_not_run() {
    let team: TeamId = "t".parse().expect("valid");
    let mut old = Tickets::new(holder(0, 7), LIFETIME, CAPACITY);
    let ticket = old.mint(&team, Moment(0)).expect("below capacity");
    let mut new = Tickets::new(holder(0, 8), LIFETIME, CAPACITY);
    let admission = new.admit(&ticket, &team, Moment(0));
    assert_eq!(admission, Admission::Other(holder(0, 7)));
}

#[test]
fn a_ticket_round_trips_through_its_text_form() {
    let mut tickets = Tickets::new(holder(3, 0xabc), LIFETIME, CAPACITY);
    let team: TeamId = "t".parse().expect("valid");
    let ticket = tickets.mint(&team, Moment(99)).expect("below capacity");
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    assert!("t~vm~1~2".parse::<Ticket>().is_err());
}
