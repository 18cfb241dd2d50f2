//! Validation of constraints within and between the objects of a tree.
//!
//! Each check covers the objects affected by a change, and the rest of the tree only as far as an
//! affected object refers to it or is referred to by it.

use super::resolve::{GroupIndex, Spec, StagedChange, item_path};
use super::{Catalogue, ModelSpec, TeamSpec};
use crate::findings::Findings;
use crate::schema::Kind;
use crate::schema::reader::join;
use sesamegap_wire::TeamId;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

impl StagedChange {
    /// Runs all checks.
    pub(super) fn check_all(
        &self,
        old: &Catalogue,
        group_index: &GroupIndex,
        findings: &mut Findings,
    ) {
        self.check_names(group_index, findings);
        self.check_specs(findings);
        self.check_references(old, group_index, findings);
        self.check_keys(old, findings);
    }

    /// Finds names used by more than one object of a kind.
    fn check_names(&self, group_index: &GroupIndex, findings: &mut Findings) {
        let mut seen: BTreeMap<(Kind, &SmolStr), &SmolStr> = BTreeMap::new();
        for (item, _) in &self.after {
            let (kind, name, group) = item;
            let kept = group_index[*kind as usize].get(name);
            let kept = kept.filter(|home| {
                *home != group
                    && !self
                        .before
                        .contains(&(*kind, name.clone(), (*home).clone()))
            });
            if let Some(other) = kept.or(seen.insert((*kind, name), group)) {
                let there = join(&join(other, kind.plural()), name);
                let wrong = format!("a {kind} of this name stands at {there} too");
                findings.add(&item_path(item), wrong, "each name once in the whole tree");
            }
        }
    }

    /// Finds values that contradict each other within one object.
    fn check_specs(&self, findings: &mut Findings) {
        for (item, spec) in &self.after {
            let path = item_path(item);
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
                Spec::Model(model) if exceeds_engines(model) => {
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

    /// Finds references to objects that do not exist.
    fn check_references(&self, old: &Catalogue, group_index: &GroupIndex, findings: &mut Findings) {
        let classes = self.existing_names(Kind::Class, |name| {
            old.classes.keys().any(|id| id.as_str() == name)
        });
        let models = self.existing_names(Kind::Model, |name| {
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
                check(&item_path(item), team);
            }
        }
        if self.removes(Kind::Class) || self.removes(Kind::Model) {
            let touched: BTreeSet<&str> = self.affected_names(Kind::Team).collect();
            let others = old
                .teams
                .iter()
                .filter(|(id, _)| !touched.contains(id.as_str()));
            for (id, team) in others {
                let name = SmolStr::new(id.as_str());
                let home = group_index[Kind::Team as usize].get(&name).cloned();
                check(
                    &item_path(&(Kind::Team, name, home.unwrap_or_default())),
                    team,
                );
            }
        }
    }

    /// Finds keys shared by two teams; a caller could be identified as either.
    fn check_keys(&self, old: &Catalogue, findings: &mut Findings) {
        let touched: BTreeSet<&str> = self.affected_names(Kind::Team).collect();
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
                    let path = join(&item_path(item), "key_hashes");
                    findings.add(&path, wrong, "a key of one team only");
                }
            }
        }
    }

    /// Names of affected objects of a kind, before or after the change.
    pub(super) fn affected_names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        let after = self.after.iter().map(|(item, _)| item);
        let all = self.before.iter().chain(after);
        all.filter(move |item| item.0 == kind)
            .map(|item| item.1.as_str())
    }

    /// Whether the change removes objects of a kind.
    fn removes(&self, kind: Kind) -> bool {
        let after = self.after.iter().filter(|(item, _)| item.0 == kind);
        let after: BTreeSet<&SmolStr> = after.map(|(item, _)| &item.1).collect();
        self.before
            .iter()
            .any(|item| item.0 == kind && !after.contains(&item.1))
    }

    /// Returns a predicate for whether a name of a kind exists after the change.
    ///
    /// `kept` answers for names that the change does not affect.
    fn existing_names(&self, kind: Kind, kept: impl Fn(&str) -> bool) -> impl Fn(&str) -> bool {
        let touched: BTreeSet<&str> = self.affected_names(kind).collect();
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
}

fn exceeds_engines(model: &ModelSpec) -> bool {
    let engines = u32::try_from(model.engines.len()).unwrap_or(u32::MAX);
    engines > 0 && model.least > engines
}
