use sesamegap_policy::routing::transfers::{Link, Wish, wish};
use std::time::Duration;

fn review() -> Wish {
    Wish {
        shared: 6_300,
        own: 2_000,
        served: None,
        at_store: true,
        link: Some(Link {
            near: true,
            mbps: 420_000,
            engines: 140,
        }),
    }
}

#[test]
fn a_prompt_at_its_home_fetches_from_the_store_and_has_what_it_lacks_kept() {
    let found = wish(&review());
    assert!(found.from_store && found.save, "{found:?}");
}

/// Prompts of one dossier follow each other within a second. A transfer each time would queue on the
/// link of the store for what the engine still has.
#[test]
fn what_the_engine_has_just_served_is_not_fetched() {
    let served = Wish {
        served: Some(Duration::from_millis(800)),
        ..review()
    };
    let found = wish(&served);
    assert!(!found.from_store && !found.from_engine, "{found:?}");
    let long_ago = Wish {
        served: Some(Duration::from_secs(5)),
        ..review()
    };
    assert!(wish(&long_ago).from_store, "its memory has turned over");
}

/// One store's link is shared by 140 engines in three failure domains. Transfers of those farther off
/// would queue for seconds and hold up the prompts.
#[test]
fn a_link_that_many_share_is_left_to_the_engines_beside_it() {
    let far = |engines| Wish {
        link: Some(Link {
            near: false,
            mbps: 110_000,
            engines,
        }),
        ..review()
    };
    assert!(wish(&far(12)).from_store);
    let many = wish(&far(140));
    assert!(
        !many.from_store && !many.save && many.from_engine,
        "{many:?}"
    );
}

/// The prompt's home is beside another store, or no store answers. Asked in vain, a dead one holds the
/// prompt up by a tenth of a second.
#[test]
fn without_a_store_that_has_the_parts_the_home_is_asked() {
    let elsewhere = Wish {
        at_store: false,
        ..review()
    };
    let none = Wish {
        link: None,
        ..review()
    };
    for asked in [elsewhere, none] {
        let found = wish(&asked);
        assert!(
            !found.from_store && !found.save && found.from_engine,
            "{found:?}"
        );
    }
}

#[test]
fn short_prompts_and_long_own_parts_stay_out_of_the_store() {
    let short = Wish {
        shared: 200,
        ..review()
    };
    let found = wish(&short);
    assert!(!found.from_store && !found.save, "{found:?}");
    let own = Wish {
        own: 12_000,
        ..review()
    };
    let found = wish(&own);
    assert!(found.from_store && !found.save, "{found:?}");
}
