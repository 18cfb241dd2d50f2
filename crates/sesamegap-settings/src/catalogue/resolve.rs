//! Resolves a tree into a catalogue, either whole or incrementally for one change.
//!
//! A change is staged first: the objects affected by its paths are listed before and after the
//! edits, resolved, and validated against one another and against the rest of the tree. Only a
//! change without findings is committed, so readers never see a partially applied change.

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

/// Path of each object's group, by kind and name.
///
/// Names are unique per kind in the whole tree.
pub(crate) type GroupIndex = [BTreeMap<SmolStr, SmolStr>; 4];

/// A resolved object of any kind.
#[derive(Debug)]
pub(super) enum Spec {
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

/// An object's kind, name and the path of its group.
pub(crate) type Item = (Kind, SmolStr, SmolStr);

/// Objects affected by a change.
pub(crate) type Items = BTreeSet<Item>;

/// The full path of an object.
pub(super) fn item_path(item: &Item) -> String {
    join(&join(&item.2, item.0.plural()), &item.1)
}

/// Adds the objects that an edit of this path can affect.
pub(crate) fn add_affected(tree: &Tree, target: &Target, items: &mut Items) {
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
        Slot::Group => visit_items(&mut layers, group, &Kind::ALL, &mut note),
        Slot::Defaults(kind, _) => visit_items(&mut layers, group, &[*kind], &mut note),
    }
}

/// Visits each object of the given kinds in a group and its subgroups.
fn visit_items<'a>(
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
        visit_items(layers, below, kinds, visit);
        layers.pop();
    }
}

/// The affected objects before and after a change, ready to be committed.
#[derive(Debug)]
pub(crate) struct StagedChange {
    pub(super) before: Items,
    pub(super) after: Vec<(Item, Spec)>,
}

/// Resolves and validates the affected objects of a modified tree.
pub(crate) fn stage(
    old: &Catalogue,
    group_index: &GroupIndex,
    tree: &Tree,
    before: Items,
    after: Items,
    findings: &mut Findings,
) -> StagedChange {
    let resolve = |item: Item| {
        let groups = group_names(&item.2);
        let layers = tree.layers(&groups)?;
        let own = layers.group()?.items[item.0 as usize].get(&item.1)?;
        let spec = Spec::new(item.0, &layers.row(item.0, own));
        Some((item, spec))
    };
    let after: Vec<(Item, Spec)> = after.into_iter().filter_map(resolve).collect();
    let staged = StagedChange { before, after };
    staged.check_all(old, group_index, findings);
    staged
}

fn group_names(path: &str) -> Vec<SmolStr> {
    path.split('/')
        .skip(1)
        .step_by(2)
        .map(SmolStr::new)
        .collect()
}

impl StagedChange {
    /// Applies the change to the catalogue and the group index.
    ///
    /// Keys that a team keeps are left alone. If no key changes, the key table stays shared with
    /// the previous catalogue and is not copied.
    pub(crate) fn commit(self, catalogue: &mut Catalogue, group_index: &mut GroupIndex) {
        let names: BTreeSet<TeamId> = self.affected_names(Kind::Team).map(id).collect();
        let before = team_keys(catalogue, &names);
        self.replace_items(catalogue, group_index);
        let after = team_keys(catalogue, &names);
        for (hash, _) in before.difference(&after) {
            catalogue.keys.remove(hash);
        }
        for (hash, team) in after.difference(&before) {
            catalogue.keys.add(hash, team);
        }
    }

    /// Builds a catalogue from all objects.
    ///
    /// The maps are built in bulk, because they are then denser than if filled one by one.
    fn into_catalogue(self) -> (Catalogue, GroupIndex) {
        let mut catalogue = Catalogue::default();
        let mut group_index: [Vec<(SmolStr, SmolStr)>; 4] = Default::default();
        let mut teams = Vec::new();
        for ((kind, name, group), spec) in self.after {
            match spec {
                Spec::Team(team) => teams.push((id::<TeamId>(&name), team)),
                other => catalogue.insert(&name, other),
            }
            group_index[kind as usize].push((name, group));
        }
        catalogue.keys = teams.iter().collect();
        catalogue.teams = teams.into_iter().collect();
        (
            catalogue,
            group_index.map(|group_index| group_index.into_iter().collect()),
        )
    }

    /// Replaces the affected objects, but not the keys of teams.
    fn replace_items(self, catalogue: &mut Catalogue, group_index: &mut GroupIndex) {
        let mut gone = self.before;
        for ((kind, name, group), spec) in self.after {
            catalogue.insert(&name, spec);
            gone.remove(&(kind, name.clone(), group.clone()));
            let former = group_index[kind as usize].insert(name.clone(), group);
            former.map(|home| gone.remove(&(kind, name, home)));
        }
        for (kind, name, _) in gone {
            group_index[kind as usize].remove(&name);
            catalogue.remove(kind, &name);
        }
    }
}

/// A key hash and the team it belongs to.
type TeamKey = (String, TeamId);

fn team_keys(catalogue: &Catalogue, names: &BTreeSet<TeamId>) -> BTreeSet<TeamKey> {
    let mut all = BTreeSet::new();
    for name in names {
        let team = catalogue.teams.get(name);
        let hashes = team.into_iter().flat_map(|team| &team.key_hashes);
        all.extend(hashes.map(|hash| (hash.clone(), name.clone())));
    }
    all
}

/// Parses a name that was validated when the tree was read.
fn id<T: std::str::FromStr>(name: &str) -> T {
    name.parse()
        .ok()
        .expect("names in the tree are valid identifiers")
}

impl Catalogue {
    /// Inserts an object; the function that calls this updates the keys of teams.
    fn insert(&mut self, name: &str, spec: Spec) {
        match spec {
            Spec::Team(spec) => {
                self.teams.insert(id::<TeamId>(name), spec);
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

    /// Resolves a whole tree.
    ///
    /// Adds a finding for each invalid reference or combination of values.
    pub fn resolve(tree: &Tree, findings: &mut Findings) -> Self {
        resolve_all(tree, findings).0
    }
}

/// Resolves a whole tree and also returns the group of each object.
pub(crate) fn resolve_all(tree: &Tree, findings: &mut Findings) -> (Catalogue, GroupIndex) {
    let mut layers = Layers::default();
    layers.push("", &tree.root);
    let mut after = Vec::new();
    visit_items(
        &mut layers,
        &tree.root,
        &Kind::ALL,
        &mut |kind, name, layers, own| {
            let item = (kind, name.clone(), layers.path().clone());
            after.push((item, Spec::new(kind, &layers.row(kind, own))));
        },
    );
    let staged = StagedChange {
        before: Items::new(),
        after,
    };
    staged.check_all(&Catalogue::default(), &GroupIndex::default(), findings);
    staged.into_catalogue()
}
