//! Inheritance compared with a naive walk to the root, and diffs between trees.

use crate::support::naive::{tidy, walk};
use crate::support::property_test;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Map, Value, json};
use sesamegap_settings::schema::Kind;
use sesamegap_settings::tree::{Effective, Origin, diff};
use sesamegap_settings::{Catalogue, Change, ChangeId, Findings, Fold, Outcome, Tree, TreePath};
use sesamegap_wire::Offset;

/// A random valid tree with groups up to three levels deep and unique names.
#[derive(Debug, Clone)]
struct RandomTree(Value);

impl Arbitrary for RandomTree {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut root = group(g, 3, &mut 0);
        root["classes"]["standard"] = json!({});
        Self(root)
    }
}

fn some<T>(g: &mut Gen, value: T) -> Option<T> {
    bool::arbitrary(g).then_some(value)
}

fn team(g: &mut Gen) -> Value {
    let mut own = Map::new();
    let weight = f64::from(u8::arbitrary(g)) + 1.0;
    own.extend(some(g, ("weight".to_owned(), json!(weight))));
    let burst = u64::from(u16::arbitrary(g)) + 1;
    own.extend(some(g, ("burst".to_owned(), json!(burst))));
    own.extend(some(g, ("rate".to_owned(), json!("unlimited"))));
    Value::Object(own)
}

fn class(g: &mut Gen) -> Value {
    let priority = u8::arbitrary(g);
    let mut own = Map::new();
    own.extend(some(g, ("priority".to_owned(), json!(priority))));
    own.extend(some(g, ("hedge".to_owned(), json!(true))));
    Value::Object(own)
}

fn group(g: &mut Gen, depth: u8, names: &mut u32) -> Value {
    let mut fresh = |prefix: &str| {
        *names += 1;
        format!("{prefix}{names}")
    };
    let mut out = json!({"classes": {}, "teams": {}, "groups": {}, "defaults": {}});
    for _ in 0..u8::arbitrary(g) % 3 {
        out["teams"][fresh("t")] = team(g);
        out["classes"][fresh("c")] = class(g);
    }
    if bool::arbitrary(g) {
        out["defaults"] = json!({"team": team(g), "class": class(g)});
    }
    for _ in 0..u8::arbitrary(g) % 3 {
        if depth > 0 {
            let name = {
                *names += 1;
                format!("g{names}")
            };
            out["groups"][name] = group(g, depth - 1, names);
        }
    }
    out
}

type Resolve = fn(&Tree, &TreePath) -> Option<Vec<Effective>>;

/// Compares all values in a group and its subgroups with the naive walk.
fn compare(tree: &Tree, root: &Value, groups: &[&str], resolve: Resolve) -> Result<(), String> {
    let mut at = root;
    let mut prefix = String::new();
    for name in groups {
        at = &at["groups"][name];
        prefix = format!("{prefix}groups/{name}/");
    }
    for kind in [Kind::Team, Kind::Class] {
        for name in at[kind.plural()]
            .as_object()
            .into_iter()
            .flat_map(Map::keys)
        {
            let path = format!("{prefix}{}/{name}", kind.plural());
            let all = resolve(tree, &path.parse().expect("a path"));
            for value in all.ok_or(format!("nothing at {path}"))? {
                let found = (value.value, value.origin.to_string());
                let wanted = walk(root, groups, kind, name, value.field);
                if found != wanted {
                    return Err(format!("{path}: {found:?} but {wanted:?}"));
                }
            }
        }
    }
    for name in at["groups"].as_object().into_iter().flat_map(Map::keys) {
        let below = [groups, &[name.as_str()]].concat();
        compare(tree, root, &below, resolve)?;
    }
    Ok(())
}

fn inherits(random: &RandomTree, resolve: Resolve) -> Result<(), String> {
    let mut findings = Findings::default();
    let tree = Tree::read(&random.0, "", &mut findings);
    let catalogue = Catalogue::resolve(&tree, &mut findings);
    if !findings.is_empty() {
        return Err(findings.to_string());
    }
    compare(&tree, &random.0, &[], resolve)?;
    if tree.to_value() == tidy(&random.0) && catalogue.revision == Offset(0) {
        Ok(())
    } else {
        Err("the tree is not written as it was read".to_owned())
    }
}

#[test]
fn each_value_is_the_nearest_on_the_way_to_the_root() {
    let property: fn(RandomTree) -> Result<(), String> =
        |random| inherits(&random, Tree::effective);
    property_test(0x1e, 200, 30).quickcheck(property);
}

#[test]
fn an_injected_inheritance_fault_is_detected() {
    /// Faulty resolution in which the root's defaults override those of subgroups.
    fn root_defaults_win(tree: &Tree, path: &TreePath) -> Option<Vec<Effective>> {
        let kind = if path.as_str().contains("teams/") {
            "team"
        } else {
            "class"
        };
        let root = tree.effective(&format!("defaults/{kind}").parse().expect("a path"))?;
        let mut all = tree.effective(path)?;
        for (value, top) in all.iter_mut().zip(root) {
            if top.origin != Origin::BuiltIn && value.origin != Origin::Set(path.as_str().into()) {
                *value = top;
            }
        }
        Some(all)
    }
    let broken: fn(RandomTree) -> Result<(), String> =
        |random| inherits(&random, root_defaults_win);
    assert!(property_test(0x1f, 200, 30).quicktest(broken).is_err());
}

#[test]
fn a_diff_turns_one_tree_into_the_other() {
    fn publish(fold: &mut Fold, random: &RandomTree) -> Result<(), String> {
        let mut findings = Findings::default();
        let wanted = Tree::read(&random.0, "", &mut findings);
        let edits = diff(fold.tree(), &wanted);
        if !edits.is_empty() {
            let change = Change {
                id: ChangeId(u128::from(fold.next().0)),
                base: fold.revision(),
                by: "op".into(),
                note: String::new(),
                edits,
            };
            let body = change.encode().map_err(|e| e.to_string())?;
            let outcome = fold.apply(fold.next(), 0, &body);
            if !matches!(outcome, Outcome::Accepted { .. }) {
                return Err(outcome.to_string());
            }
        }
        if *fold.tree() == wanted {
            Ok(())
        } else {
            Err("another tree".to_owned())
        }
    }
    let property: fn(RandomTree, RandomTree) -> Result<(), String> = |first, second| {
        let mut fold = Fold::default();
        publish(&mut fold, &first)?;
        publish(&mut fold, &second)?;
        let whole = Catalogue::resolve(fold.tree(), &mut Findings::default());
        let mut stepwise = (*fold.catalogue()).clone();
        stepwise.revision = whole.revision;
        if stepwise == whole {
            Ok(())
        } else {
            Err("another catalogue".to_owned())
        }
    };
    property_test(0x20, 100, 30).quickcheck(property);
}
