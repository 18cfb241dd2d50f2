//! Tickets run at most once and tell the truth afterwards.

use crate::support::{Pick, check, holder};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::agreement::tickets::{Admission, Ticket, Tickets};
use sesamegap_wire::{Moment, TeamId};
use std::collections::HashMap;
use std::time::Duration;

const LIFE: Duration = Duration::from_secs(30);
const MOST: usize = 8;

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

/// Callers use tickets again and again, with wrong teams and after long waits, while the book is
/// full. A ticket that ran twice would be a filing made twice; one refused as certainly not run
/// after it had run would make the clerk file again.
#[test]
fn a_ticket_runs_once_and_its_refusals_are_true() {
    fn property(ops: Vec<Op>) -> bool {
        let mut book = Tickets::new(holder(0, 7), LIFE, MOST);
        let mut now = Moment(0);
        let mut minted: Vec<(Ticket, TeamId)> = Vec::new();
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for op in ops {
            match op {
                Op::Mint(pick) => {
                    let team = team(pick);
                    minted.extend(book.mint(&team, now).map(|ticket| (ticket, team)));
                }
                Op::Use { ticket, team: pick } if !minted.is_empty() => {
                    let (ticket, owner) = &minted[ticket.below(minted.len())];
                    let asking = team(pick);
                    let ran = runs.entry(ticket.number).or_default();
                    match book.admit(ticket, &asking, now) {
                        Admission::Run if asking != *owner => return false,
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
            if book.len() > MOST {
                return false;
            }
        }
        true
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// A clerk's save was sent under a ticket to a router that has since been replaced on its VM. The
/// new life must not run it, since nobody can tell whether the old one did.
#[test]
fn a_ticket_of_a_former_life_is_not_run() {
    let team: TeamId = "t".parse().expect("valid");
    let mut old = Tickets::new(holder(0, 7), LIFE, MOST);
    let ticket = old.mint(&team, Moment(0)).expect("room in the book");
    let mut new = Tickets::new(holder(0, 8), LIFE, MOST);
    let admission = new.admit(&ticket, &team, Moment(0));
    assert_eq!(admission, Admission::Other(holder(0, 7)));
}

#[test]
fn a_ticket_reads_back_as_written() {
    let mut book = Tickets::new(holder(3, 0xabc), LIFE, MOST);
    let team: TeamId = "t".parse().expect("valid");
    let ticket = book.mint(&team, Moment(99)).expect("room in the book");
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    assert!("t~vm~1~2".parse::<Ticket>().is_err());
}
