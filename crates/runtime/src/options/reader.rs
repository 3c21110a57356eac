//! Reads the fields of an options file, with the flags that replace them, and collects all faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jzon::JsonValue;

use crate::options::fault::{read_json_file, OptionsFault};
use crate::options::tuning::TuningOptions;

/// All fields of an options file.
const KNOWN_FIELDS: [&str; 14] = [
    "control",
    "advertise",
    "serving",
    "area",
    "seeds",
    "data",
    "slot_mb",
    "log_mb",
    "capacity",
    "agent",
    "out_of_touch",
    "synced_ledgers",
    "ledger_seats",
    "witness_seats",
];

/// The options file, if any, and the faults found in it so far.
pub(super) struct OptionsReader<'needs> {
    source: String,
    value: JsonValue,
    /// The fields that the program requires.
    required_fields: &'needs [&'needs str],
    faults: Vec<OptionsFault>,
}

impl<'needs> OptionsReader<'needs> {
    /// Reads the file; without one, all fields come from flags.
    pub(super) fn open(
        file: Option<&Path>,
        required_fields: &'needs [&'needs str],
    ) -> Result<Self, OptionsFault> {
        let mut reader = Self {
            source: "flags".to_string(),
            value: JsonValue::new_object(),
            required_fields,
            faults: Vec::new(),
        };
        if let Some(path) = file {
            reader.source = path.display().to_string();
            reader.value = read_json_file(path)?;
        }
        reader.check_fields();
        Ok(reader)
    }

    fn check_fields(&mut self) {
        if !self.value.is_object() {
            self.fault("file", "must contain one JSON object");
        }
        let names = self.value.entries().map(|(name, _)| name.to_string());
        let unknown = names.filter(|name| !KNOWN_FIELDS.contains(&name.as_str()));
        for name in unknown.collect::<Vec<String>>() {
            let remedy = format!(
                "is not a known field: use one of {}",
                KNOWN_FIELDS.join(", ")
            );
            self.fault(&name, &remedy);
        }
    }

    /// Returns the faults found, if any.
    pub(super) fn finish(self) -> Result<(), Vec<OptionsFault>> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }

    fn fault(&mut self, field: &str, remedy: &str) {
        self.faults.push(OptionsFault {
            file: self.source.clone(),
            field: field.to_string(),
            remedy: remedy.to_string(),
        });
    }

    fn is_required(&self, name: &str) -> bool {
        self.required_fields.contains(&name)
    }

    fn is_present(&self, name: &str) -> bool {
        !self.value[name].is_null()
    }

    /// Returns an address, from the flag or else from the file.
    pub(super) fn address(&mut self, name: &str, flag: Option<&str>) -> Option<SocketAddr> {
        let from_file = || self.value[name].as_str().unwrap_or("?").to_string();
        let specified = flag
            .map(str::to_string)
            .or_else(|| self.is_present(name).then(from_file));
        match specified.map(|text| text.parse::<SocketAddr>()) {
            Some(Ok(address)) => return Some(address),
            Some(Err(_)) => {
                self.fault(
                    name,
                    "must be an IP address and port, such as 10.0.0.1:7000",
                );
            }
            None if self.is_required(name) => {
                self.fault(name, "is missing: specify an IP address and port");
            }
            None => {}
        }
        None
    }

    /// Returns the name of the zone.
    pub(super) fn zone(&mut self, flag: Option<&str>) -> String {
        let specified = flag.or_else(|| self.value["area"].as_str());
        let zone = specified.unwrap_or_default().to_string();
        if zone.is_empty() && self.is_required("area") {
            self.fault(
                "area",
                "is missing: specify the zone that this machine is located in",
            );
        }
        zone
    }

    /// Returns the control addresses of the seeds.
    pub(super) fn seeds(&mut self, flags: &[String]) -> Vec<SocketAddr> {
        let mut specified = flags.to_vec();
        if specified.is_empty() {
            match &self.value["seeds"] {
                JsonValue::Null => {}
                JsonValue::Array(list) => {
                    let texts = list.iter().map(|seed| seed.as_str().unwrap_or("?"));
                    specified.extend(texts.map(str::to_string));
                }
                _ => self.fault("seeds", "must be a list of addresses"),
            }
        }
        let mut seeds = Vec::new();
        for seed in &specified {
            match seed.parse() {
                Ok(seed) => seeds.push(seed),
                Err(_) => self.fault("seeds", &format!("{seed} is not an IP address and port")),
            }
        }
        if seeds.is_empty() && self.is_required("seeds") {
            let remedy = "are missing: specify the control addresses of three controllers";
            self.fault("seeds", remedy);
        }
        seeds
    }

    /// Returns the data folder.
    pub(super) fn data(&mut self, flag: Option<&PathBuf>) -> PathBuf {
        let from_file = || self.value["data"].as_str().map(PathBuf::from);
        let data = flag.cloned().or_else(from_file).unwrap_or_default();
        if data.as_os_str().is_empty() && self.is_required("data") {
            self.fault("data", "is missing: specify the data folder");
        }
        data
    }

    /// Returns a whole number from 1 to `limit`, or `default_value` if the field is not present.
    pub(super) fn number(&mut self, name: &str, default_value: u64, limit: u64) -> u64 {
        match self.value[name].as_u64() {
            Some(number) if (1..=limit).contains(&number) => number,
            None if !self.is_present(name) => default_value,
            _ => {
                self.fault(name, &format!("must be a whole number from 1 to {limit}"));
                default_value
            }
        }
    }

    /// Returns the tuning options, with those that an options file can change.
    pub(super) fn tuning(&mut self) -> TuningOptions {
        let mut tuning = TuningOptions::default();
        if self.is_present("synced_ledgers") {
            tuning.core.synced_controllers = Some(self.number("synced_ledgers", 2, 9) as usize);
        }
        tuning.core.controller_voters = self.number("ledger_seats", 3, 9) as usize;
        if let Some(voters) = self.witness_voters() {
            tuning.core.witness_voters = voters;
        }
        match self.value["out_of_touch"].as_str() {
            Some("silent") => {}
            Some("serve-on") => tuning.set_serves_stale(true),
            None if !self.is_present("out_of_touch") => {}
            _ => self.fault("out_of_touch", "must be silent or serve-on"),
        }
        tuning
    }

    /// Returns the number of witnesses, which may be zero: where disks may be wiped while all machines lose
    /// power, voters without disks lose their state as well, and a majority must not depend on any of them.
    fn witness_voters(&mut self) -> Option<usize> {
        if !self.is_present("witness_seats") {
            return None;
        }
        let voters = self.value["witness_seats"].as_usize();
        let voters = voters.filter(|voters| *voters <= 9);
        if voters.is_none() {
            self.fault("witness_seats", "must be a whole number from 0 to 9");
        }
        voters
    }
}
