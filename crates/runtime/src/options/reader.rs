//! Reads the fields of an options file, with the flags that stand in for them, and collects all faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jzon::JsonValue;

use crate::options::fault::{read_json_file, OptionsFault};
use crate::options::terms::TuningOptions;

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
    /// The fields that the program cannot do without.
    needs: &'needs [&'needs str],
    faults: Vec<OptionsFault>,
}

impl<'needs> OptionsReader<'needs> {
    /// Reads the file; without one, all fields come from flags.
    pub(super) fn open(
        file: Option<&Path>,
        needs: &'needs [&'needs str],
    ) -> Result<Self, OptionsFault> {
        let mut reader = Self {
            source: "flags".to_string(),
            value: JsonValue::new_object(),
            needs,
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
            self.fault("file", "must hold one JSON object");
        }
        let names = self.value.entries().map(|(name, _)| name.to_string());
        let unknown = names.filter(|name| !KNOWN_FIELDS.contains(&name.as_str()));
        for name in unknown.collect::<Vec<String>>() {
            let remedy = format!("is not known: use {}", KNOWN_FIELDS.join(", "));
            self.fault(&name, &remedy);
        }
    }

    /// The faults found, if any.
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

    fn is_needed(&self, name: &str) -> bool {
        self.needs.contains(&name)
    }

    fn is_given(&self, name: &str) -> bool {
        !self.value[name].is_null()
    }

    /// An address, from the flag or else from the file.
    pub(super) fn address(&mut self, name: &str, flag: Option<&str>) -> Option<SocketAddr> {
        let in_file = || self.value[name].as_str().unwrap_or("?").to_string();
        let given = flag
            .map(str::to_string)
            .or_else(|| self.is_given(name).then(in_file));
        match given.map(|text| text.parse::<SocketAddr>()) {
            Some(Ok(address)) => return Some(address),
            Some(Err(_)) => {
                self.fault(name, "must be an IP number and port, such as 10.0.0.1:7000");
            }
            None if self.is_needed(name) => {
                self.fault(name, "is missing: give an IP number and port");
            }
            None => {}
        }
        None
    }

    /// The name of the zone.
    pub(super) fn zone(&mut self, flag: Option<&str>) -> String {
        let given = flag.or_else(|| self.value["area"].as_str());
        let zone = given.unwrap_or_default().to_string();
        if zone.is_empty() && self.is_needed("area") {
            self.fault("area", "is missing: name the zone this machine stands in");
        }
        zone
    }

    /// The control addresses of the seeds.
    pub(super) fn seeds(&mut self, flags: &[String]) -> Vec<SocketAddr> {
        let mut given = flags.to_vec();
        if given.is_empty() {
            match &self.value["seeds"] {
                JsonValue::Null => {}
                JsonValue::Array(list) => {
                    let texts = list.iter().map(|seed| seed.as_str().unwrap_or("?"));
                    given.extend(texts.map(str::to_string));
                }
                _ => self.fault("seeds", "must be a list of addresses"),
            }
        }
        let mut seeds = Vec::new();
        for seed in &given {
            match seed.parse() {
                Ok(seed) => seeds.push(seed),
                Err(_) => self.fault("seeds", &format!("{seed} is no IP number and port")),
            }
        }
        if seeds.is_empty() && self.is_needed("seeds") {
            let remedy = "are missing: give the control addresses of three controllers";
            self.fault("seeds", remedy);
        }
        seeds
    }

    /// The data folder.
    pub(super) fn data(&mut self, flag: Option<&PathBuf>) -> PathBuf {
        let in_file = || self.value["data"].as_str().map(PathBuf::from);
        let data = flag.cloned().or_else(in_file).unwrap_or_default();
        if data.as_os_str().is_empty() && self.is_needed("data") {
            self.fault("data", "is missing: name the data folder");
        }
        data
    }

    /// A whole number from 1 to `most`; `otherwise` when none is given.
    pub(super) fn number(&mut self, name: &str, otherwise: u64, most: u64) -> u64 {
        match self.value[name].as_u64() {
            Some(number) if (1..=most).contains(&number) => number,
            None if !self.is_given(name) => otherwise,
            _ => {
                self.fault(name, &format!("must be a whole number from 1 to {most}"));
                otherwise
            }
        }
    }

    /// The settings of the core and of proxies that an options file can change.
    pub(super) fn terms(&mut self) -> TuningOptions {
        let mut terms = TuningOptions::default();
        if self.is_given("synced_ledgers") {
            terms.core.synced_controllers = Some(self.number("synced_ledgers", 2, 9) as usize);
        }
        terms.core.controller_voters = self.number("ledger_seats", 3, 9) as usize;
        if let Some(voters) = self.witness_voters() {
            terms.core.witness_voters = voters;
        }
        match self.value["out_of_touch"].as_str() {
            Some("silent") => {}
            Some("serve-on") => terms.set_serves_stale(true),
            None if !self.is_given("out_of_touch") => {}
            _ => self.fault("out_of_touch", "must be silent or serve-on"),
        }
        terms
    }

    /// The number of witnesses, which may be zero: where disks may be wiped while all machines lose
    /// power, voters without disks are lost with them, and a majority must not depend on any.
    fn witness_voters(&mut self) -> Option<usize> {
        if !self.is_given("witness_seats") {
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
