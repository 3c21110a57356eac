//! Verifies the records of a run: what clients were told against what instances ran.

use std::collections::HashMap;
use std::path::{Path, PathBuf};

use anyhow::{anyhow, Context as AnyhowContext};

use crate::fleet::Fleet;
use crate::probe;
use crate::verify::slow_start::WarmUp;
use runtime::scenario::Scenario;

mod slow_start;

/// One line of an instance's journal: a request that the instance ran.
struct JournalEntry {
    request: String,
    write: bool,
    key_range: Option<(String, u64)>,
    from: u128,
    to: u128,
    instance: String,
}

/// What the instances recorded.
#[derive(Default)]
struct Journals {
    runs: Vec<JournalEntry>,
    warm_ups: Vec<WarmUp>,
}

fn read_journals(folder: &Path) -> anyhow::Result<Journals> {
    let mut journals = Journals::default();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|ending| ending != "journal") {
            continue;
        }
        let instance = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .to_string();
        let service = instance
            .rsplit_once('-')
            .map_or("", |(service, _)| service)
            .to_string();
        for line in std::fs::read_to_string(&path)?.lines() {
            let parts: Vec<&str> = line.split(' ').collect();
            let field = |name: &str| {
                parts
                    .iter()
                    .find_map(|part| part.strip_prefix(name))
                    .unwrap_or_default()
            };
            let time = |name: &str| field(name).parse().unwrap_or(0);
            if parts.first() == Some(&"warm-up") {
                journals.warm_ups.push(WarmUp {
                    instance: instance.clone(),
                    from: time("from="),
                    to: time("to="),
                });
                continue;
            }
            let (Some(request), Some(method)) = (parts.get(1), parts.get(2)) else {
                continue;
            };
            let key_range = field("slice=").split_once('/').map(|(key_range, epoch)| {
                (format!("{service}/{key_range}"), epoch.parse().unwrap_or(0))
            });
            journals.runs.push(JournalEntry {
                request: (*request).to_string(),
                write: *method != "GET",
                key_range,
                from: time("from="),
                to: time("to="),
                instance: instance.clone(),
            });
        }
    }
    Ok(journals)
}

/// Verifies a run: no write ran twice or after it was reported as not run, each served request was run,
/// no truncated request was run, no key range had two owners at once, and no instance that was warming up got
/// more requests than it takes.
///
/// Prints the counts as JSON; a run without any record fails.
pub fn verify_records(fleet: &Fleet, records: &[PathBuf]) -> anyhow::Result<bool> {
    let Journals { runs, warm_ups } = read_journals(&fleet.folder)?;
    let scenario = Scenario::read(&fleet.scenario)
        .map_err(|faults| anyhow!("cannot read the scenario: {faults:?}"))?;
    let floods = slow_start::count_floods(&runs, &warm_ups, &slow_start::limits_of(&scenario));
    let mut reported: HashMap<String, String> = HashMap::new();
    for record in records {
        let text = std::fs::read_to_string(record)
            .with_context(|| format!("cannot read the record {}", record.display()))?;
        for line in text.lines() {
            if let Some((request, outcome)) = line.split_once(' ') {
                reported.insert(request.to_string(), outcome.to_string());
            }
        }
    }
    let mut writes: HashMap<&str, u32> = HashMap::new();
    for entry in runs.iter().filter(|entry| entry.write) {
        *writes.entry(&entry.request).or_default() += 1;
    }
    let ran_twice = writes.values().filter(|count| **count > 1).count();
    let ran_after_not_run = writes
        .keys()
        .filter(|request| {
            reported
                .get(**request)
                .is_some_and(|outcome| outcome == "not-run")
        })
        .count();
    let served_without_run = reported
        .iter()
        .filter(|(request, outcome)| *outcome == "served" && !writes.contains_key(request.as_str()))
        .count();
    let mut by_key_range: HashMap<&str, Vec<&JournalEntry>> = HashMap::new();
    for entry in &runs {
        if let Some((key_range, _)) = &entry.key_range {
            by_key_range.entry(key_range).or_default().push(entry);
        }
    }
    let mut overlaps = 0;
    for runs in by_key_range.values_mut() {
        runs.sort_by_key(|entry| entry.from);
        for (index, entry) in runs.iter().enumerate() {
            overlaps += runs[index + 1..]
                .iter()
                .take_while(|next| next.from < entry.to)
                .filter(|next| next.instance != entry.instance)
                .count();
        }
    }
    // Truncated requests come from the probes: they are in no client's record, so they are counted
    // separately.
    let truncated_runs = runs
        .iter()
        .filter(|entry| entry.request == probe::TRUNCATED_REQUEST_ID)
        .count();
    let passed =
        truncated_runs + ran_twice + ran_after_not_run + served_without_run + overlaps + floods
            == 0;
    let json = jzon::object! {
        orders_told: reported.len(),
        runs: runs.len(),
        writes_run: writes.len(),
        ran_twice: ran_twice,
        ran_after_not_run: ran_after_not_run,
        served_without_a_run: served_without_run,
        two_owners_at_once: overlaps,
        half_orders_run: truncated_runs,
        warm_ups: warm_ups.len(),
        warm_ups_flooded: floods,
        good: passed,
    };
    println!("{}", json.pretty(2));
    Ok(passed && !reported.is_empty())
}
