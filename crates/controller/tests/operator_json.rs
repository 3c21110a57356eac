//! Error texts that operators receive when the form of their JSON is wrong.

use caperworks::configuration::Fault;
use controller::operator_json::{read_form, read_removed_agents, FormError};

/// Returns the errors as they are reported: the field and the text of each.
fn reported(errors: Vec<FormError>) -> Vec<(String, String)> {
    errors
        .into_iter()
        .map(Fault::from)
        .map(|fault| (fault.field, fault.reason))
        .collect()
}

fn expect(errors: Vec<FormError>, expected: &[(&str, &str)], text: &str) {
    let expected: Vec<(String, String)> = expected
        .iter()
        .map(|(field, why)| (field.to_string(), why.to_string()))
        .collect();
    assert_eq!(reported(errors), expected, "{text}");
}

/// Returns a change set that puts one item of this kind with this value.
fn put(kind: &str, value: &str) -> String {
    format!(r#"{{"id": "one", "put": [{{"kind": "{kind}", "name": "n", "{kind}": {value}}}]}}"#)
}

#[test]
fn each_error_in_a_change_set_has_its_text() {
    let long_id = format!(r#"{{"id": "{}", "put": []}}"#, "x".repeat(129));
    for (text, expected) in [
        ("7", &[("body", "must be an object")][..]),
        (r#"{"put": []}"#, &[("id", "is missing")]),
        (r#"{"id": 7}"#, &[("id", "must be a string")]),
        (r#"{"id": "one"}"#, &[("put", "the change set is empty")]),
        (
            &long_id,
            &[("id", "must not be longer than 128 characters")],
        ),
        (r#"{"id": "one", "put": 7}"#, &[("put", "must be a list")]),
        (
            r#"{"id": "one", "put": [7]}"#,
            &[("put[0]", "must be an object")],
        ),
        (
            r#"{"id": "one", "edition": -1, "extra": 1}"#,
            &[
                ("edition", "must be a non-negative integer"),
                ("extra", "is not a known field"),
            ],
        ),
        (
            r#"{"id": "one", "put": [{"kind": "service", "name": "n"}]}"#,
            &[("put[0].kind", "must be rule, service or zone")],
        ),
        (
            r#"{"id": "one", "drop": [{"name": "n"}]}"#,
            &[
                ("drop[0].kind", "is missing"),
                ("drop[0].kind", "must be rule, service or zone"),
            ],
        ),
        (
            r#"{"id": "one", "put": [{"kind": "area", "name": "n"}]}"#,
            &[("put[0].area", "is missing")],
        ),
    ] {
        expect(read_form(text).1, expected, text);
    }
    let errors = reported(read_form("{").1);
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].0, "body");
    assert!(
        errors[0].1.starts_with("is not valid JSON: "),
        "{}",
        errors[0].1
    );
}

#[test]
fn each_error_in_an_item_has_its_text() {
    let route = r#""host": "h", "path": "/""#;
    for (text, expected) in [
        (
            put("area", r#"{"region": "east", "closed": 1}"#),
            &[("put[0].area.closed", "must be true or false")][..],
        ),
        (
            put(
                "pool",
                r#"{"slices": 5000000000, "gentle_per_second": -1, "key_space": "x"}"#,
            ),
            &[
                ("put[0].pool.slices", "is too large"),
                (
                    "put[0].pool.gentle_per_second",
                    "must be a non-negative number",
                ),
                ("put[0].pool.key_space", "must be hashed or ranges"),
            ],
        ),
        (
            put(
                "rule",
                &format!(r#"{{{route}, "kind": "x", "homes": [1]}}"#),
            ),
            &[
                ("put[0].rule.pool", "is missing"),
                ("put[0].rule.homes[0]", "must be a string"),
                ("put[0].rule.kind", "must be repeatable, once or upload"),
            ],
        ),
        (
            put(
                "rule",
                &format!(r#"{{{route}, "split": [{{"weight": 1.5}}]}}"#),
            ),
            &[
                ("put[0].rule.split[0].pool", "is missing"),
                (
                    "put[0].rule.split[0].weight",
                    "must be a non-negative integer",
                ),
            ],
        ),
    ] {
        expect(read_form(&text).1, expected, &text);
    }
}

#[test]
fn each_error_in_a_removal_of_agents_has_its_text() {
    for (text, expected) in [
        ("[]", &[("", "must be an object")][..]),
        ("{}", &[("drop", "must name at least one agent")]),
        (
            r#"{"drop": ["there"]}"#,
            &[(
                "drop[0]",
                "must be the IP address and control port of an agent",
            )],
        ),
    ] {
        let errors = read_removed_agents(text).expect_err("its form is wrong");
        expect(errors, expected, text);
    }
}
