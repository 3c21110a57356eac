//! Tests of the verification of a run's records.

use std::path::PathBuf;

use crate::fleet::Fleet;
use crate::verify::verify_records;

/// Its services are records and evidence.
const SCENARIO: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/small.json");

/// Verifies the given journals and record.
fn passes_verification(name: &str, journals: &[(&str, &str)], record: &str) -> bool {
    let folder =
        std::env::temp_dir().join(format!("caperworks-judge-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    for (instance, lines) in journals {
        std::fs::write(folder.join(format!("{instance}.journal")), lines).expect("a journal");
    }
    let record_path = folder.join("told");
    std::fs::write(&record_path, record).expect("a record");
    let fleet = Fleet {
        folder: folder.clone(),
        scenario: PathBuf::from(SCENARIO),
        processes: Vec::new(),
    };
    let passed = verify_records(&fleet, &[record_path]).expect("it can be verified");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    passed
}

/// A journal line of one request.
fn journal_line(request: &str, key_range: &str, from: u32, to: u32) -> String {
    format!("ran {request} POST /x key=k slice={key_range} digest=0 from={from} to={to}\n")
}

#[test]
fn clean_run_passes_verification() {
    let lines = journal_line("a", "1/1", 10, 20) + &journal_line("b", "1/1", 30, 40);
    let other = journal_line("c", "1/2", 50, 60);
    let reported = "a served\nb unknown\nc served\nd not-run\n";
    assert!(passes_verification(
        "clean",
        &[("burn-1", &lines), ("burn-2", &other)],
        reported
    ));
}

#[test]
fn every_kind_of_violation_fails_verification() {
    let once = journal_line("a", "-", 10, 20);
    let twice = once.clone() + &once;
    assert!(!passes_verification(
        "twice",
        &[("desk-1", &twice)],
        "a served\n"
    ));
    assert!(!passes_verification(
        "not-run",
        &[("desk-1", &once)],
        "a not-run\n"
    ));
    assert!(!passes_verification(
        "no-run",
        &[("desk-1", &once)],
        "a served\nb served\n"
    ));
    let half = journal_line(crate::probe::TRUNCATED_REQUEST_ID, "-", 10, 20);
    assert!(!passes_verification(
        "half",
        &[("desk-1", &half)],
        "a not-run\n"
    ));
    let (one, other) = (
        journal_line("a", "3/1", 10, 30),
        journal_line("b", "3/2", 20, 40),
    );
    let journals = [("burn-1", one.as_str()), ("burn-2", other.as_str())];
    assert!(!passes_verification(
        "owners",
        &journals,
        "a served\nb served\n"
    ));
    assert!(
        !passes_verification("nothing", &[], ""),
        "a run without a record must not pass"
    );
}

/// Returns the journal of an instance of records that begins to warm up and gets requests a tenth of a second apart,
/// so many at each moment.
fn warm_up_journal(requests_at_a_time: u32) -> String {
    let mut lines = "warm-up from=10000 to=13000\n".to_string();
    for moment in 0..40 {
        for number in 0..requests_at_a_time {
            let from = 9000 + moment * 100;
            lines += &format!(
                "ran r{moment}-{number} GET /x key= slice=- digest=0 from={from} to={}\n",
                from + 5
            );
        }
    }
    lines + &journal_line("a", "-", 20_000, 20_010)
}

#[test]
fn instance_flooded_while_it_warms_up_fails_verification() {
    // Twelve a second are its rate, so 23 in one second are allowed.
    for (requests_at_a_time, passes) in [(2, true), (3, false)] {
        let journal = warm_up_journal(requests_at_a_time);
        let name = format!("flood-{requests_at_a_time}");
        let passed = passes_verification(&name, &[("records-1", &journal)], "a served\n");
        assert_eq!(passed, passes, "{requests_at_a_time} at a time");
    }
}
