//! Reads the pages that claim proofs, and fails if a named proof does not exist.
//!
//! The pages name proofs in code marks as `day/NAME`, `story/NAME`, `variant/NAME`, `drill/NAME` or
//! `runbook/NAME`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const KINDS: [&str; 5] = ["day", "story", "variant", "drill", "runbook"];

fn root() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Returns every proof that a page names, by kind and name.
fn named(page: &str) -> Vec<(String, String)> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|marked| marked.split_once('/'))
        .filter(|(kind, _)| KINDS.contains(kind))
        .map(|(kind, name)| (kind.to_string(), name.to_string()))
        .collect()
}

/// The proofs that exist.
struct Proofs {
    days: BTreeSet<String>,
    drills: BTreeSet<String>,
    runbooks: BTreeSet<String>,
    sources: String,
    variants: String,
}

fn stems(folder: &str) -> BTreeSet<String> {
    let entries = std::fs::read_dir(root().join(folder)).expect("folder exists");
    entries
        .filter_map(|entry| {
            let path = entry.ok()?.path();
            let json = path.extension()? == "json";
            json.then(|| {
                path.file_stem()
                    .map(|stem| stem.to_string_lossy().to_string())
            })?
        })
        .collect()
}

fn read_sources(folder: &Path, sources: &mut String) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            sources.push_str(&std::fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

impl Proofs {
    fn gather() -> Self {
        let mut sources = String::new();
        read_sources(&root().join("crates"), &mut sources);
        let variants = root().join("crates/simulator/tests/observers.rs");
        Self {
            days: stems("crates/simulator/days"),
            drills: stems("drills"),
            runbooks: stems("runbooks"),
            sources,
            variants: std::fs::read_to_string(variants).expect("file with the variants exists"),
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        match kind {
            "day" => self.days.contains(name),
            "drill" => self.drills.contains(name),
            "runbook" => self.runbooks.contains(name),
            "variant" => self.variants.contains(&format!("::{name}")),
            _ => self.sources.contains(&format!("fn {name}(")),
        }
    }

    fn missing(&self, page: &str) -> Vec<String> {
        named(page)
            .into_iter()
            .filter(|(kind, name)| !self.has(kind, name))
            .map(|(kind, name)| format!("{kind}/{name}"))
            .collect()
    }
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).expect("page exists")
}

#[test]
fn proofs_named_in_pages_exist_and_every_day_is_named() {
    let proofs = Proofs::gather();
    let mut days = BTreeSet::new();
    let pages = [
        "brief-coverage.md",
        "guarantees.md",
        "design-notes/control-under-faults.md",
    ];
    for name in pages {
        let page = page(name);
        assert!(named(&page).len() > 30, "{name} names too few proofs");
        let missing = proofs.missing(&page);
        assert!(
            missing.is_empty(),
            "{name} names proofs that do not exist: {missing:?}"
        );
        let named = named(&page).into_iter().filter(|(kind, _)| kind == "day");
        days.extend(named.map(|(_, day)| day));
    }
    let unnamed: Vec<&String> = proofs.days.difference(&days).collect();
    assert!(unnamed.is_empty(), "days that no page names: {unnamed:?}");
}

#[test]
fn missing_proofs_are_reported() {
    let page =
        "seen on `day/quiet`, `day/never-played`, `story/given_nothing`, `variant/Unbroken`, \
                `drill/none` and `runbook/none`; `crates/a/b` is no proof";
    let mut missing = Proofs::gather().missing(page);
    // This file contains the name `given_nothing`, but no function of that name.
    missing.sort();
    let expected = [
        "day/never-played",
        "drill/none",
        "runbook/none",
        "story/given_nothing",
        "variant/Unbroken",
    ];
    assert_eq!(missing, expected);
}
