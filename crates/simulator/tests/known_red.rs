//! The comparison of a test run with the list of tests that are known to fail.

use std::path::Path;

/// Output of a run in which `broken` failed, as cargo and the test harnesses print it.
const ONE_FAILS: &str = "\nrunning 3 tests\ntest fine ... ok\ntest skipped ... ignored, by hand\n\
    test tests::broken - should panic ... FAILED\n\nfailures:\n\n---- tests::broken stdout ----\n\
    running 1 test\ntest of_the_output ... FAILED\n\nfailures:\n    tests::broken\n\n\
    test result: FAILED. 1 passed; 1 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.00s\n\n";

/// Output of a run without failures, with padded test names.
const NONE_FAILS: &str =
    "\nrunning 2 tests\ntest days::a.json      ... ok\ntest days::longer.json ... ok\n\n\
    test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 1.00s\n\n";

const ONE_TARGET_FAILED: &str = "     Running tests/a.rs (target/debug/deps/a-1)\n\
    error: test failed, to rerun pass `-p a --test a`\nerror: 1 target failed:\n    `-p a --test a`\n";

const LISTED: &str = "# A note.\n\ntests::broken | it counts wrongly | 7\n";

/// Runs the comparison; returns whether it passed, and its output.
fn compare(case: &str, list: &str, output: &str, errors: &str, status: u8) -> (bool, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("known_red")
        .join(case);
    std::fs::create_dir_all(&folder).expect("folder is created");
    let written = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("file is written");
        path
    };
    let done = std::process::Command::new("bash")
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../scripts/known-red"
        ))
        .arg(written("list", list))
        .arg(written("output", output))
        .arg(written("errors", errors))
        .arg(status.to_string())
        .output()
        .expect("bash is installed");
    let text = [done.stdout, done.stderr].concat();
    (
        done.status.success(),
        String::from_utf8(text).expect("output is UTF-8"),
    )
}

fn failed_with(message: &str) -> (bool, String) {
    (false, format!("known-red: {message}\n"))
}

#[test]
fn empty_list_with_all_tests_passing_passes() {
    let run = compare("all_pass", "# A note.\n", NONE_FAILS, "", 0);
    assert_eq!(run, (true, String::new()));
}

#[test]
fn unlisted_failure_fails_the_run() {
    let run = compare("empty_list", "", ONE_FAILS, ONE_TARGET_FAILED, 101);
    assert_eq!(run, failed_with("failed and not listed: tests::broken"));
}

#[test]
fn listed_failure_is_tolerated_and_printed() {
    let both = format!("{NONE_FAILS}{ONE_FAILS}{NONE_FAILS}");
    let run = compare("listed", LISTED, &both, ONE_TARGET_FAILED, 101);
    let message = "known red, passed over: tests::broken | it counts wrongly | 7\n";
    assert_eq!(run, (true, message.to_string()));
}

#[test]
fn listed_test_that_passes_fails_the_run() {
    let list = "days::a.json | it counts wrongly | 7\n";
    let run = compare("passes", list, NONE_FAILS, "", 0);
    assert_eq!(
        run,
        failed_with("listed, but it passes (take it out of the list): days::a.json")
    );
}

#[test]
fn listed_test_that_passes_in_one_program_and_fails_in_another_fails_the_run() {
    let both = format!(
        "{ONE_FAILS}{}",
        NONE_FAILS.replace("days::a.json     ", "tests::broken")
    );
    let run = compare("passes_once", LISTED, &both, ONE_TARGET_FAILED, 101);
    assert_eq!(
        run,
        failed_with("listed, but it passes (take it out of the list): tests::broken")
    );
}

#[test]
fn listed_test_that_does_not_exist_fails_the_run() {
    let run = compare("missing", LISTED, NONE_FAILS, "", 0);
    assert_eq!(
        run,
        failed_with("listed, but there is no such test: tests::broken")
    );
}

#[test]
fn listed_test_that_is_ignored_fails_the_run() {
    let list = format!("{LISTED}skipped | it counts wrongly | 7\n");
    let (passed, message) = compare("ignored", &list, ONE_FAILS, ONE_TARGET_FAILED, 101);
    assert!(!passed);
    assert!(
        message.ends_with("known-red: listed, but it is ignored and did not run: skipped\n"),
        "{message}"
    );
}

#[test]
fn unlisted_failure_beside_a_listed_one_fails_the_run() {
    let output = ONE_FAILS
        .replace("fine ... ok", "fine ... FAILED")
        .replace("1 failed", "2 failed");
    let (passed, message) = compare("another", LISTED, &output, ONE_TARGET_FAILED, 101);
    assert!(!passed);
    assert!(
        message.contains("known-red: failed and not listed: fine\n"),
        "{message}"
    );
}

#[test]
fn program_that_dies_without_a_report_fails_the_run() {
    let errors = ONE_TARGET_FAILED.replace("1 target failed", "2 targets failed");
    let (passed, message) = compare("dies", LISTED, ONE_FAILS, &errors, 101);
    assert!(!passed);
    assert!(
        message.contains("2 failed test programs; 1 told of failures"),
        "{message}"
    );
}

#[test]
fn program_that_ends_midway_fails_the_run() {
    let output = format!("{NONE_FAILS}\nrunning 2 tests\ntest fine ... ok\n");
    let run = compare("midway", "", &output, "", 0);
    assert_eq!(
        run,
        failed_with("the output can't be read whole: a test program ended without its result")
    );
}

#[test]
fn garbled_line_fails_the_run() {
    let output = NONE_FAILS.replace("test days::a.json", "some words test days::a.json");
    let run = compare("garbled", "", &output, "", 0);
    assert_eq!(
        run,
        failed_with("the output can't be read whole: 2 tests were announced, 1 told")
    );
}

#[test]
fn cargo_failure_without_failed_tests_fails_the_run() {
    let errors = "error: could not compile `a`\n";
    let run = compare("no_build", "", NONE_FAILS, errors, 101);
    assert_eq!(
        run,
        failed_with("cargo ended with 101 and no failed test programs; 0 told of failures")
    );
}

#[test]
fn output_without_tests_fails_the_run() {
    let run = compare("nothing", "", "", "", 0);
    assert_eq!(run, failed_with("the output tells of no test"));
}

#[test]
fn malformed_list_fails_the_run() {
    for (case, list, message) in [
        (
            "no_issue",
            "days::a.json | it counts wrongly\n",
            "a line is not 'test-name | cause | issue': days::a.json | it counts wrongly",
        ),
        (
            "too_many",
            "days::a.json | it | counts | wrongly\n",
            "a line is not 'test-name | cause | issue': days::a.json | it | counts | wrongly",
        ),
    ] {
        assert_eq!(compare(case, list, NONE_FAILS, "", 0), failed_with(message));
    }
    let twice = format!("{LISTED}tests::broken | it counts wrongly | 8\n");
    let (passed, message) = compare("twice", &twice, ONE_FAILS, ONE_TARGET_FAILED, 101);
    assert!(!passed);
    assert!(
        message.contains("known-red: listed twice: tests::broken\n"),
        "{message}"
    );
}

/// Returns the output of a run in which this many tests failed, and a list of all of them.
fn failures(count: usize) -> (String, String) {
    let reported = |index| format!("test broken_{index} ... FAILED\n");
    let listed = |index| format!("broken_{index} | it counts wrongly | 7\n");
    let reported: String = (1..=count).map(reported).collect();
    let output = format!(
        "\nrunning {count} tests\n{reported}\ntest result: FAILED. 0 passed; {count} failed; 0 ignored\n"
    );
    let list: String = (1..=count).map(listed).collect();
    (output, format!("# A note.\n\n{list}"))
}

#[test]
fn three_listed_failures_are_tolerated() {
    let (output, list) = failures(3);
    let (passed, message) = compare("three", &list, &output, ONE_TARGET_FAILED, 101);
    assert!(passed, "{message}");
    assert_eq!(
        message.matches("known red, passed over: ").count(),
        3,
        "{message}"
    );
}

#[test]
fn four_listed_failures_fail_the_run() {
    let (output, list) = failures(4);
    let (passed, message) = compare("four", &list, &output, ONE_TARGET_FAILED, 101);
    assert!(!passed, "{message}");
    assert!(
        message.contains("known-red: the list has 4 lines, at most 3 are allowed\n"),
        "{message}"
    );
}

#[test]
fn repository_list_is_well_formed() {
    let list = include_str!("../../../KNOWN-RED.txt");
    let (_, message) = compare("checked_in", list, NONE_FAILS, "", 0);
    assert!(!message.contains("a line is not"), "{message}");
    assert!(!message.contains("listed twice"), "{message}");
    assert!(!message.contains("are allowed"), "{message}");
}
