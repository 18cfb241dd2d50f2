//! Making a catalogue from a tree, whole or only where a change touched it.
//!
//! A change is staged first: the objects at the touched paths are listed before and after the
//! edits, resolved and checked against one another and against the rest. Only a change without
//! findings is then committed, so no reader ever sees one half applied.

use super::{Catalogue, ClassSpec, ModelSpec, ServiceSpec, TeamSpec};
use crate::findings::Findings;
use crate::schema::Kind;
use crate::schema::reader::{Row, Values, join};
use crate::tree::inherit::Layers;
use crate::tree::path::{Slot, Target};
use crate::tree::{Group, Tree};
use sesamegap_wire::{ClassId, ModelId, ServiceId, TeamId};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// The group each object stands in, by kind and name, as names are unique over the whole tree.
pub(crate) type Homes = [BTreeMap<SmolStr, SmolStr>; 4];

/// A resolved object.
#[derive(Debug)]
enum Spec {
    Team(TeamSpec),
    Class(ClassSpec),
    Model(ModelSpec),
    Service(ServiceSpec),
}

impl Spec {
    fn new(kind: Kind, row: &Row<'_>) -> Self {
        match kind {
            Kind::Team => Self::Team(row.into()),
            Kind::Class => Self::Class(row.into()),
            Kind::Model => Self::Model(row.into()),
            Kind::Service => Self::Service(row.into()),
        }
    }
}

/// An object's kind, name and group.
pub(crate) type Item = (Kind, SmolStr, SmolStr);

/// Objects at touched paths.
pub(crate) type Items = BTreeSet<Item>;

fn path_of(item: &Item) -> String {
    join(&join(&item.2, item.0.plural()), &item.1)
}

/// Lists the objects that an edit of this path can alter.
pub(crate) fn touched(tree: &Tree, target: &Target, items: &mut Items) {
    let Some(mut layers) = tree.layers(&target.groups) else {
        return;
    };
    let Some(group) = layers.group() else {
        return;
    };
    let mut note = |kind: Kind, name: &SmolStr, layers: &Layers<'_>, _: &Values| {
        items.insert((kind, name.clone(), layers.path().clone()));
    };
    match &target.slot {
        Slot::Item(kind, name, _) => {
            if let Some(own) = group.items[*kind as usize].get(name) {
                note(*kind, name, &layers, own);
            }
        }
        Slot::Group => walk(&mut layers, group, &Kind::ALL, &mut note),
        Slot::Defaults(kind, _) => walk(&mut layers, group, &[*kind], &mut note),
    }
}

/// Visits each object of the given kinds in a group and below.
fn walk<'a>(
    layers: &mut Layers<'a>,
    group: &'a Group,
    kinds: &[Kind],
    visit: &mut impl FnMut(Kind, &SmolStr, &Layers<'a>, &'a Values),
) {
    for kind in kinds {
        for (name, values) in &group.items[*kind as usize] {
            visit(*kind, name, layers, values);
        }
    }
    for (name, below) in &group.groups {
        layers.push(name, below);
        walk(layers, below, kinds, visit);
        layers.pop();
    }
}

/// A checked step from one catalogue to the next.
#[derive(Debug)]
pub(crate) struct Staged {
    before: Items,
    after: Vec<(Item, Spec)>,
}

/// Resolves the touched objects of a changed tree and checks them.
pub(crate) fn stage(
    old: &Catalogue,
    homes: &Homes,
    tree: &Tree,
    before: Items,
    after: Items,
    findings: &mut Findings,
) -> Staged {
    let resolve = |item: Item| {
        let groups = group_names(&item.2);
        let layers = tree.layers(&groups)?;
        let own = layers.group()?.items[item.0 as usize].get(&item.1)?;
        let spec = Spec::new(item.0, &layers.row(item.0, own));
        Some((item, spec))
    };
    let after: Vec<(Item, Spec)> = after.into_iter().filter_map(resolve).collect();
    let staged = Staged { before, after };
    staged.check_all(old, homes, findings);
    staged
}

fn group_names(path: &str) -> Vec<SmolStr> {
    path.split('/')
        .skip(1)
        .step_by(2)
        .map(SmolStr::new)
        .collect()
}

impl Staged {
    fn check_all(&self, old: &Catalogue, homes: &Homes, findings: &mut Findings) {
        self.check_names(homes, findings);
        self.check_specs(findings);
        self.check_references(old, findings);
        self.check_keys(old, findings);
    }

    /// Finds names that stand twice.
    fn check_names(&self, homes: &Homes, findings: &mut Findings) {
        let mut seen: BTreeMap<(Kind, &SmolStr), &SmolStr> = BTreeMap::new();
        for (item, _) in &self.after {
            let (kind, name, group) = item;
            let kept = homes[*kind as usize].get(name);
            let kept = kept.filter(|home| {
                *home != group
                    && !self
                        .before
                        .contains(&(*kind, name.clone(), (*home).clone()))
            });
            if let Some(other) = kept.or(seen.insert((*kind, name), group)) {
                let there = join(&join(other, kind.plural()), name);
                let wrong = format!("a {kind} of this name stands at {there} too");
                findings.add(&path_of(item), wrong, "each name once in the whole tree");
            }
        }
    }

    /// Finds values that contradict each other within one object.
    fn check_specs(&self, findings: &mut Findings) {
        for (item, spec) in &self.after {
            let path = path_of(item);
            match spec {
                Spec::Class(class) if class.total < class.deadline => {
                    let wrong = "the whole answer is due before its first token";
                    findings.add(
                        &join(&path, "total"),
                        wrong,
                        "`total` of at least `deadline`",
                    );
                }
                Spec::Model(model) if model.longest < model.block => {
                    let wrong = "the longest prompt is shorter than a block";
                    findings.add(
                        &join(&path, "longest"),
                        wrong,
                        "`longest` of at least `block`",
                    );
                }
                Spec::Model(model) if short_of_engines(model) => {
                    let wrong = "more engines are wanted than the deployment may use";
                    findings.add(
                        &join(&path, "least"),
                        wrong,
                        "`least` up to the number of `engines`",
                    );
                }
                _ => {}
            }
        }
    }

    /// Finds references to objects that are not there.
    fn check_references(&self, old: &Catalogue, findings: &mut Findings) {
        let classes = self.names(Kind::Class, |name| {
            old.classes.keys().any(|id| id.as_str() == name)
        });
        let models = self.names(Kind::Model, |name| {
            old.models.keys().any(|id| id.as_str() == name)
        });
        let mut check = |path: &str, team: &TeamSpec| {
            if !classes(team.class.as_str()) {
                let wrong = format!("there is no class `{}`", team.class);
                findings.add(
                    &join(path, "class"),
                    wrong,
                    "a class that stands in the tree",
                );
            }
            for model in team.models.iter().filter(|model| !models(model.as_str())) {
                let wrong = format!("there is no model `{model}`");
                findings.add(
                    &join(path, "models"),
                    wrong,
                    "models that stand in the tree",
                );
            }
        };
        for (item, spec) in &self.after {
            if let Spec::Team(team) = spec {
                check(&path_of(item), team);
            }
        }
        if self.loses(Kind::Class) || self.loses(Kind::Model) {
            let touched: BTreeSet<&str> = self.named(Kind::Team).collect();
            let others = old
                .teams
                .iter()
                .filter(|(id, _)| !touched.contains(id.as_str()));
            for (id, team) in others {
                check(&format!("teams/{id}"), team);
            }
        }
    }

    /// Finds keys that would belong to two teams, so that a caller could pass for either.
    fn check_keys(&self, old: &Catalogue, findings: &mut Findings) {
        let touched: BTreeSet<&str> = self.named(Kind::Team).collect();
        let mut seen: BTreeMap<&str, &SmolStr> = BTreeMap::new();
        for (item, spec) in &self.after {
            let Spec::Team(team) = spec else {
                continue;
            };
            for hash in &team.key_hashes {
                let kept = old.keys.holder(hash).map(TeamId::as_str);
                let kept = kept.filter(|team| !touched.contains(team));
                let other = seen.insert(hash, &item.1).map(SmolStr::as_str);
                if let Some(other) = kept.or(other) {
                    let wrong = format!("team `{other}` has this key too");
                    let path = join(&path_of(item), "key_hashes");
                    findings.add(&path, wrong, "a key of one team only");
                }
            }
        }
    }

    /// Names of a kind before or after the change.
    fn named(&self, kind: Kind) -> impl Iterator<Item = &str> {
        let after = self.after.iter().map(|(item, _)| item);
        let all = self.before.iter().chain(after);
        all.filter(move |item| item.0 == kind)
            .map(|item| item.1.as_str())
    }

    /// Whether objects of a kind are there before but not after.
    fn loses(&self, kind: Kind) -> bool {
        let after = self.after.iter().filter(|(item, _)| item.0 == kind);
        let after: BTreeSet<&SmolStr> = after.map(|(item, _)| &item.1).collect();
        self.before
            .iter()
            .any(|item| item.0 == kind && !after.contains(&item.1))
    }

    /// Whether a name of a kind stands in the tree after the change.
    fn names(&self, kind: Kind, kept: impl Fn(&str) -> bool) -> impl Fn(&str) -> bool {
        let touched: BTreeSet<&str> = self.named(kind).collect();
        let after = self.after.iter().filter(move |(item, _)| item.0 == kind);
        let after: BTreeSet<&str> = after.map(|(item, _)| item.1.as_str()).collect();
        move |name| {
            if touched.contains(name) {
                after.contains(name)
            } else {
                kept(name)
            }
        }
    }

    /// Takes the step.
    ///
    /// Keys that a team keeps are not touched: the table of all keys is then still shared with
    /// the catalogue before, and need not be copied.
    pub(crate) fn commit(self, catalogue: &mut Catalogue, homes: &mut Homes) {
        let names: BTreeSet<TeamId> = self.named(Kind::Team).map(id).collect();
        let before = holdings(catalogue, &names);
        self.replace(catalogue, homes);
        let after = holdings(catalogue, &names);
        for (hash, _) in before.difference(&after) {
            catalogue.keys.remove(hash);
        }
        for (hash, team) in after.difference(&before) {
            catalogue.keys.add(hash, team);
        }
    }

    fn replace(self, catalogue: &mut Catalogue, homes: &mut Homes) {
        let mut gone = self.before;
        for ((kind, name, group), spec) in self.after {
            catalogue.insert(&name, spec);
            gone.remove(&(kind, name.clone(), group.clone()));
            let former = homes[kind as usize].insert(name.clone(), group);
            former.map(|home| gone.remove(&(kind, name, home)));
        }
        for (kind, name, _) in gone {
            homes[kind as usize].remove(&name);
            catalogue.remove(kind, &name);
        }
    }
}

/// A key's hash and the team that has it.
type Holding = (String, TeamId);

fn holdings(catalogue: &Catalogue, names: &BTreeSet<TeamId>) -> BTreeSet<Holding> {
    let mut all = BTreeSet::new();
    for name in names {
        let team = catalogue.teams.get(name);
        let hashes = team.into_iter().flat_map(|team| &team.key_hashes);
        all.extend(hashes.map(|hash| (hash.clone(), name.clone())));
    }
    all
}

fn short_of_engines(model: &ModelSpec) -> bool {
    let engines = u32::try_from(model.engines.len()).unwrap_or(u32::MAX);
    engines > 0 && model.least > engines
}

/// Reads a name that was checked when the tree was read.
fn id<T: std::str::FromStr>(name: &str) -> T {
    name.parse()
        .ok()
        .expect("names in the tree are valid identifiers")
}

impl Catalogue {
    fn insert(&mut self, name: &str, spec: Spec) {
        match spec {
            Spec::Team(spec) => {
                let team: TeamId = id(name);
                spec.key_hashes
                    .iter()
                    .for_each(|hash| self.keys.add(hash, &team));
                self.teams.insert(team, spec);
            }
            Spec::Class(spec) => {
                self.classes.insert(id::<ClassId>(name), spec);
            }
            Spec::Model(spec) => {
                self.models.insert(id::<ModelId>(name), spec);
            }
            Spec::Service(spec) => {
                self.services.insert(id::<ServiceId>(name), spec);
            }
        }
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Team => {
                self.teams.remove(&id::<TeamId>(name));
            }
            Kind::Class => {
                self.classes.remove(&id::<ClassId>(name));
            }
            Kind::Model => {
                self.models.remove(&id::<ModelId>(name));
            }
            Kind::Service => {
                self.services.remove(&id::<ServiceId>(name));
            }
        }
    }

    /// Resolves a whole tree, with a finding for each reference or value that does not hold.
    pub fn resolve(tree: &Tree, findings: &mut Findings) -> Self {
        resolve_all(tree, findings).0
    }
}

/// Resolves a whole tree and says where each object stands.
pub(crate) fn resolve_all(tree: &Tree, findings: &mut Findings) -> (Catalogue, Homes) {
    let mut catalogue = Catalogue::default();
    let mut homes = Homes::default();
    let mut layers = Layers::default();
    layers.push("", &tree.root);
    let mut after = Vec::new();
    walk(
        &mut layers,
        &tree.root,
        &Kind::ALL,
        &mut |kind, name, layers, own| {
            let item = (kind, name.clone(), layers.path().clone());
            after.push((item, Spec::new(kind, &layers.row(kind, own))));
        },
    );
    let staged = Staged {
        before: Items::new(),
        after,
    };
    staged.check_all(&catalogue, &homes, findings);
    staged.commit(&mut catalogue, &mut homes);
    (catalogue, homes)
}
