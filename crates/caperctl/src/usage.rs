//! The usage export: a CSV file with a schema file next to it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use chrono::{DateTime, NaiveDateTime};
use jzon::JsonValue;

/// The hours to export, from `from` to before `to`, in hours since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HourRange {
    pub from: u64,
    pub to: u64,
}

const COLUMNS: [(&str, &str, &str); 10] = [
    (
        "hour",
        "datetime",
        "the hour in UTC in which the requests arrived",
    ),
    ("rule", "string", "the route that the requests matched"),
    ("pool", "string", "the service of the route"),
    (
        "zone",
        "string",
        "the zone of the proxies that handled the requests",
    ),
    ("orders", "integer", "number of requests received"),
    (
        "served",
        "integer",
        "number of requests answered by an instance",
    ),
    (
        "not_run",
        "integer",
        "number of requests rejected and certainly not run",
    ),
    (
        "unknown",
        "integer",
        "number of requests with unknown outcome, which may have run",
    ),
    ("bytes_in", "integer", "bytes of the request bodies"),
    ("bytes_out", "integer", "bytes of the response bodies"),
];

/// Parses an hour such as `2026-12-02T13` into hours since the Unix epoch.
pub fn parse_hour(text: &str) -> Result<u64, String> {
    let invalid = || format!("{text} is not a valid hour: give it as 2026-12-02T13, in UTC");
    let hour_start = NaiveDateTime::parse_from_str(&format!("{text}:00"), "%Y-%m-%dT%H:%M");
    let seconds = hour_start.map_err(|_| invalid())?.and_utc().timestamp();
    u64::try_from(seconds / 3600).map_err(|_| invalid())
}

fn hour_text(hour: u64) -> String {
    let hour_start = DateTime::from_timestamp(hour as i64 * 3600, 0);
    hour_start.map_or_else(String::new, |hour_start| {
        hour_start.format("%Y-%m-%dT%H:00:00Z").to_string()
    })
}

/// Returns the rows from all agents' responses, summed by hour, route, service and zone.
pub fn summed_rows(responses: &[JsonValue], range: HourRange) -> Vec<Vec<String>> {
    let mut sums: BTreeMap<(u64, String, String, String), [u64; 6]> = BTreeMap::new();
    for response in responses {
        let zone = response["area"].as_str().unwrap_or_default();
        for line in response["lines"].members() {
            let text = |name: &str| line[name].as_str().unwrap_or_default().to_string();
            let hour = line["hour"].as_u64().unwrap_or(0);
            if hour < range.from || hour >= range.to {
                continue;
            }
            let key = (hour, text("rule"), text("pool"), zone.to_string());
            let sum = sums.entry(key).or_default();
            for (sum, (name, _, _)) in sum.iter_mut().zip(&COLUMNS[4..]) {
                *sum += line[*name].as_u64().unwrap_or(0);
            }
        }
    }
    sums.into_iter()
        .map(|((hour, route, service, zone), sums)| {
            let counts = sums.iter().map(ToString::to_string);
            [hour_text(hour), route, service, zone]
                .into_iter()
                .chain(counts)
                .collect()
        })
        .collect()
}

fn schema() -> String {
    let fields: Vec<JsonValue> = COLUMNS
        .iter()
        .map(|(name, column_type, column_description)| {
            jzon::object! { name: *name, type: *column_type, description: *column_description }
        })
        .collect();
    jzon::object! { fields: fields, missingValues: [""] }.pretty(2)
}

/// Writes the rows and their schema; removes partial files if either cannot be written.
pub fn write_export(file: &Path, rows: &[Vec<String>]) -> anyhow::Result<()> {
    let with_suffix = |suffix: &str| {
        let mut name = file.as_os_str().to_os_string();
        name.push(suffix);
        PathBuf::from(name)
    };
    let (partial_file, partial_schema) = (with_suffix(".part"), with_suffix(".schema.json.part"));
    let written = (|| {
        let mut writer = csv::Writer::from_path(&partial_file)?;
        writer.write_record(COLUMNS.iter().map(|(name, _, _)| name))?;
        for row in rows {
            writer.write_record(row)?;
        }
        writer.flush()?;
        std::fs::write(&partial_schema, schema())?;
        std::fs::rename(&partial_schema, with_suffix(".schema.json"))?;
        std::fs::rename(&partial_file, file)?;
        Ok(())
    })();
    if written.is_err() {
        // Errors are ignored: a file that was not created cannot be removed.
        let _ = std::fs::remove_file(&partial_file);
        let _ = std::fs::remove_file(&partial_schema);
    }
    written
}

#[cfg(test)]
mod tests {
    use crate::usage::{parse_hour, summed_rows, write_export, HourRange};

    #[test]
    fn export_sums_the_counts_of_agents_in_one_zone() {
        let hour = parse_hour("2026-12-02T13").expect("an hour");
        let line = |hour: u64, served: u64| {
            jzon::object! { hour: hour, rule: "progress", pool: "records", orders: 10, served: served,
            not_run: 1, unknown: 0, bytes_in: 5, bytes_out: 700 }
        };
        let response = |served: u64| {
            jzon::object! { area: "east-1", lines: [line(hour, served), line(hour + 1, 3)] }
        };
        let range = HourRange {
            from: hour,
            to: hour + 1,
        };
        let rows = summed_rows(&[response(9), response(8)], range);
        let row = [
            "2026-12-02T13:00:00Z",
            "progress",
            "records",
            "east-1",
            "20",
            "17",
            "2",
            "0",
            "10",
            "1400",
        ];
        assert_eq!(rows, vec![row.map(str::to_string).to_vec()]);
    }

    #[test]
    fn failed_export_leaves_no_files_and_invalid_hours_are_rejected() {
        let folder = std::env::temp_dir().join(format!("no-such-folder-{}", std::process::id()));
        assert!(write_export(&folder.join("usage.csv"), &[]).is_err());
        assert!(!folder.exists());
        for invalid in ["yesterday", "2026-13-01T00", "2026-12-02"] {
            assert!(parse_hour(invalid).is_err(), "{invalid}");
        }
    }
}
