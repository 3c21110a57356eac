//! House style, as far as a script can check it.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn sources(folder: &Path, found: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(folder).expect("folder exists").flatten() {
        let path = entry.path();
        // Build output is not subject to the style.
        if path.is_dir() && !path.ends_with("target") {
            sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            let text = std::fs::read_to_string(&path).expect("source file is readable");
            let inside = path
                .strip_prefix(root())
                .expect("path is in the repository");
            found.push((inside.display().to_string(), text));
        }
    }
}

/// Returns every source with its path in the repository.
fn all() -> Vec<(String, String)> {
    let mut found = Vec::new();
    sources(&root().join("crates"), &mut found);
    assert!(found.len() > 60, "only {} sources were found", found.len());
    if root().join("platform").is_dir() {
        sources(&root().join("platform"), &mut found);
    }
    found
}

/// Returns wildcard imports (`use a::*`, also inside braces and in re-exports) and preludes of our
/// own: each file has to name what it uses.
fn wildcard_imports(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut statement = String::new();
    for line in text.lines().map(str::trim) {
        let begins = statement.is_empty();
        let bare = without_modifiers(line);
        if begins && bare.ends_with("mod prelude;") {
            found.push(line.to_string());
        }
        if begins && bare != "use" && !bare.starts_with("use ") {
            continue;
        }
        let code = line.split("//").next().unwrap_or_default();
        statement.push_str(code.trim());
        statement.push_str(if code.contains(';') { "" } else { " " });
        if code.contains(';') {
            if statement.contains('*') {
                found.push(statement.clone());
            }
            statement.clear();
        }
    }
    found
}

/// The project's earlier words, which hide the field's standard terms: attempt, connection, zone,
/// lease, health, failure, version, request, route, membership, voter, leadership, key ownership,
/// service, proposal outcome, receiver, notification, restart, location, eligibility, partition,
/// recovery, random source, and the programs' own names.
const OLD_WORDS: [&str; 110] = [
    "shot",
    "shots",
    "circuit",
    "circuits",
    "area",
    "areas",
    "permit",
    "permits",
    "fitness",
    "fitnesses",
    "mishap",
    "mishaps",
    "edition",
    "editions",
    "order",
    "orders",
    "rule",
    "rules",
    "cohort",
    "cohorts",
    "seat",
    "seats",
    "duty",
    "duties",
    "tenure",
    "keeper",
    "keepers",
    "pool",
    "pools",
    "blackboard",
    "verdict",
    "verdicts",
    "shelf",
    "council",
    "deed",
    "muddle",
    "ledger",
    "ledgers",
    "mentor",
    "playout",
    "cuesheet",
    "understudy",
    "workshop",
    "rehearsal",
    "toolroom",
    "foreman",
    "runsheet",
    "ballot",
    "ballots",
    "pieces",
    "news",
    "patience",
    "life",
    "lives",
    "outlive",
    "island",
    "islander",
    "roster",
    "rosters",
    "holding",
    "holdings",
    "told",
    "note",
    "answer",
    "answers",
    "room",
    "whole",
    "gentle",
    "hear",
    "question",
    "questions",
    "copies",
    "rounds",
    "heard",
    "hears",
    "hearer",
    "tell",
    "tells",
    "asked",
    "anew",
    "careless",
    "carrier",
    "dialect",
    "whereabouts",
    "standpoint",
    "standing",
    "nowhere",
    "unfit",
    "weigh",
    "weighing",
    "politely",
    "uptake",
    "holds",
    "ailment",
    "ailments",
    "parted",
    "deaf",
    "deafen",
    "happening",
    "hollow",
    "breach",
    "breaches",
    "wish",
    "stories",
    "story",
    "judge",
    "judged",
    "mend",
    "doubtful",
    "chance",
];

/// Names in which "order" refers to sorting.
const SORTING_NAMES: [&str; 2] = ["in_order", "first_in_order"];

/// Splits a name in snake case, camel case or capitals into its words.
fn words_of(name: &str) -> Vec<String> {
    // In a constant each capital letter would count as the start of a word.
    if !name.contains(char::is_lowercase) {
        return name.split('_').map(str::to_lowercase).collect();
    }
    let mut words = vec![String::new()];
    for character in name.chars() {
        if character == '_'
            || (character.is_uppercase() && words.last().is_some_and(|word| !word.is_empty()))
        {
            words.push(String::new());
        }
        if character != '_' {
            let index = words.len() - 1;
            words[index].extend(character.to_lowercase());
        }
    }
    words
}

/// Returns the name that a text begins with, if any.
fn leading_name(text: &str) -> Option<&str> {
    let end = text
        .find(|character: char| !character.is_alphanumeric() && character != '_')
        .unwrap_or(text.len());
    let starts_well =
        text.starts_with(|character: char| character.is_alphabetic() || character == '_');
    starts_well.then(|| &text[..end])
}

/// Returns a line without the modifiers that may precede a declaration.
fn without_modifiers(line: &str) -> &str {
    let mut bare = line;
    if let Some((_, rest)) = bare
        .strip_prefix("pub(")
        .and_then(|rest| rest.split_once(") "))
    {
        bare = rest;
    }
    loop {
        let shorter = ["pub ", "async ", "unsafe ", "const fn "]
            .iter()
            .find_map(|modifier| bare.strip_prefix(modifier).map(|rest| (*modifier, rest)));
        match shorter {
            // `const` precedes functions and constants, so it is put back before a constant.
            Some(("const fn ", _)) => return &bare["const ".len()..],
            Some((_, rest)) => bare = rest,
            None => return bare,
        }
    }
}

/// Returns the names of fields in a line of an enum.
fn field_names(line: &str) -> Vec<String> {
    let single = line.replace("::", " ");
    let mut parts: Vec<&str> = single.split(':').collect();
    parts.pop();
    parts
        .iter()
        .filter_map(|part| {
            part.rsplit(|character: char| !character.is_alphanumeric() && character != '_')
                .next()
        })
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}

/// Returns the names that a source declares: types, functions, constants, modules, public fields,
/// variants with their fields, and the declarations of the macros for messages and events.
fn declared_names(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut depth_in_enum = 0_usize;
    for line in text.lines().map(str::trim) {
        if line.starts_with("//") || line.starts_with('#') {
            continue;
        }
        let bare = without_modifiers(line);
        // Test names of this form are sentences and use the words that users see.
        if bare.starts_with("fn given_") {
            continue;
        }
        let mut tokens = bare.split_whitespace();
        let numbered = tokens
            .next()
            .is_some_and(|token| token.chars().all(|character| character.is_ascii_digit()));
        if depth_in_enum > 0 {
            let member = bare.trim_start_matches(|character: char| {
                character.is_ascii_digit() || character == ' '
            });
            let variant = leading_name(member).filter(|name| name.starts_with(char::is_uppercase));
            names.extend(variant.map(str::to_string));
            names.extend(field_names(member));
        } else if numbered {
            // An event has its level between its number and its name.
            let second = tokens.next().unwrap_or_default();
            let is_level = ["Error", "Warn", "Info", "Debug", "Trace"].contains(&second);
            let declared = if is_level {
                tokens.next()
            } else {
                Some(second)
            };
            names.extend(declared.and_then(leading_name).map(str::to_string));
        }
        for kind in [
            "fn ", "struct ", "enum ", "trait ", "type ", "const ", "static ", "mod ", "union ",
        ] {
            let declared = bare.strip_prefix(kind).and_then(leading_name);
            names.extend(declared.map(str::to_string));
        }
        // These words declare newtypes only in the form that ends with a semicolon.
        for kind in ["number ", "text "] {
            let declared = bare
                .strip_prefix(kind)
                .and_then(|rest| rest.strip_suffix(';'));
            names.extend(declared.and_then(leading_name).map(str::to_string));
        }
        let field = bare
            .split_once(": ")
            .filter(|_| line.ends_with(',') && line.starts_with("pub"));
        names.extend(field.map(|(name, _)| name.to_string()));
        // Only messages have a whole type on one line; their fields are public.
        let inside = line
            .split_once('{')
            .and_then(|(_, rest)| rest.rsplit_once('}'));
        if let Some((members, _)) =
            inside.filter(|_| bare.starts_with("struct ") || bare.starts_with("enum "))
        {
            names.extend(field_names(members));
            let variants = members.split(',').map(|member| {
                member
                    .trim_matches(|character: char| character.is_ascii_digit() || character == ' ')
            });
            names.extend(
                variants
                    .filter(|member| !member.contains(':') || member.contains('{'))
                    .filter_map(leading_name)
                    .map(str::to_string),
            );
        }
        let opened = line.matches('{').count();
        if depth_in_enum > 0 || bare.starts_with("enum ") {
            depth_in_enum = (depth_in_enum + opened).saturating_sub(line.matches('}').count());
        }
    }
    names
}

/// Returns declared names that use an old word where the field has a standard term.
fn old_names(text: &str) -> Vec<String> {
    let mut names = declared_names(text);
    names.retain(|name| {
        let is_old = |word: &String| OLD_WORDS.contains(&word.as_str());
        !SORTING_NAMES.contains(&name.as_str()) && words_of(name).iter().any(is_old)
    });
    names
}

/// Returns every declared name that uses an old word, with its file.
fn old_names_reported(sources: &[(String, String)]) -> Vec<String> {
    sources
        .iter()
        .flat_map(|(path, text)| {
            old_names(text)
                .into_iter()
                .map(move |name| format!("{path}: {name} uses an old word; use the standard term"))
        })
        .collect()
}

#[test]
fn sources_have_no_wildcard_imports() {
    let mut wildcards = Vec::new();
    for (path, text) in all() {
        wildcards.extend(
            wildcard_imports(&text)
                .into_iter()
                .map(|import| format!("{path}: {import}")),
        );
    }
    assert!(wildcards.is_empty(), "{}", wildcards.join("\n"));
}

#[test]
fn declared_names_have_no_old_words() {
    let reported = old_names_reported(&all());
    assert!(reported.is_empty(), "{}", reported.join("\n"));
}

#[test]
fn tests_do_not_sleep() {
    let tests = all()
        .into_iter()
        .filter(|(path, _)| path.contains("/tests/"));
    let sleeping: Vec<String> = tests
        .filter(|(path, text)| !path.ends_with("style.rs") && text.contains("sleep("))
        .map(|(path, _)| path)
        .collect();
    assert!(sleeping.is_empty(), "{}", sleeping.join("\n"));
}

#[test]
fn style_violations_are_reported() {
    let text = "use std::fmt;\nuse crate::prelude::*;\npub fn open_circuit() {}\n    pub area_name: Zone,\n";
    assert_eq!(wildcard_imports(text), ["use crate::prelude::*;"]);
    assert_eq!(old_names(text), ["open_circuit", "area_name"]);
}

#[test]
fn wildcard_imports_are_reported() {
    for text in [
        "use crate::facts::*;",
        "    use super::*;",
        "pub use self::failure::*;",
        "pub(crate) use self::failure::*;",
        "pub(in crate::dispatch) use self::failure::*;",
        "use std::{fmt, io::*};",
        "use std::sync::{\n    atomic::*,\n    Arc,\n};",
        "use std::fmt; // a comment\nuse crate::facts::* ; // a comment",
        "use\n    crate::facts::*;",
        "pub mod prelude;",
        "mod prelude;",
    ] {
        assert_eq!(wildcard_imports(text).len(), 1, "{text}");
    }
}

#[test]
fn explicit_imports_are_accepted() {
    for text in [
        "use std::fmt;",
        "use std::io::{self, Write as _};",
        "pub(crate) use self::target::{\n    target_of, // a * in a comment\n    Target,\n};",
        "// use crate::facts::*;",
        "let area = width * height;",
    ] {
        assert_eq!(wildcard_imports(text), Vec::<String>::new(), "{text}");
    }
}

#[test]
fn old_words_are_reported_in_each_kind_of_declaration() {
    for (text, reported) in [
        ("struct FirstShot;", "FirstShot"),
        ("pub(crate) enum CircuitState {}", "CircuitState"),
        ("pub trait Permits {", "Permits"),
        ("    fn take_permit(&self);", "take_permit"),
        ("pub async fn send_order() {}", "send_order"),
        ("pub const fn rule_count() -> u8 {", "rule_count"),
        ("type Cohort = Vec<u8>;", "Cohort"),
        ("pub const MOST_SHOTS: u8 = 1;", "MOST_SHOTS"),
        ("pub mod orders;", "orders"),
        ("pub fitness: u8,", "fitness"),
        ("pub(crate) mishaps: u8,", "mishaps"),
        ("enum Kind {\n    ShotLost,\n}", "ShotLost"),
        ("enum Kind {\n    Lost { edition: u8 },\n}", "edition"),
        (
            "enum Kind {\n    Lost {\n        rule: u8,\n    },\n}",
            "rule",
        ),
        ("    0 AreaOpened,", "AreaOpened"),
        ("    1 area: Zone,", "area"),
        (
            "    struct Heartbeat { 0 node: NodeId, 1 area: Zone }",
            "area",
        ),
        ("    enum Kind { 0 Good, 1 Mishap }", "Mishap"),
        ("    number Edition;", "Edition"),
        ("    text Area;", "Area"),
        ("    111 Warn PORT_MISHAP \"It failed.\";", "PORT_MISHAP"),
        ("pub(crate) struct Hearer;", "Hearer"),
        ("pub const UNFIT_NODES: u8 = 1;", "UNFIT_NODES"),
    ] {
        assert_eq!(old_names(text), [reported], "{text}");
    }
}

#[test]
fn standard_terms_and_sorting_names_are_accepted() {
    for text in [
        "pub fn first_in_order() {}",
        "pub fn ordering() {}",
        "pub struct ConnectionSettings;",
        "enum Kind {\n    Lease { zone: Area },\n}",
        "struct Heartbeat { 0 zone: Area, 1 edit: Rule }",
        "fn permitted(area: u8) {}",
        "pub route: Rule,",
        "let shot = Order::new();",
        "// struct Shot;",
    ] {
        assert_eq!(old_names(text), Vec::<String>::new(), "{text}");
    }
}

#[test]
fn old_names_are_reported_with_file() {
    let source = |path: &str, text: &str| (path.to_string(), text.to_string());
    let sources = [
        source("clean.rs", "struct Attempt;"),
        source("one.rs", "struct Area;"),
        source("two.rs", "struct Shot;\nstruct Permit;"),
    ];
    assert_eq!(
        old_names_reported(&sources),
        [
            "one.rs: Area uses an old word; use the standard term",
            "two.rs: Shot uses an old word; use the standard term",
            "two.rs: Permit uses an old word; use the standard term",
        ]
    );
}
