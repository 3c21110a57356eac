//! Reads a scenario file, and collects all faults in it.

use std::path::Path;
use std::time::Duration;

use jzon::JsonValue;

use crate::options::{read_json_file, OptionsFault};
use crate::scenario::{Scenario, ServicePlan, Traffic};

/// All fields of a scenario file.
const KNOWN_FIELDS: [&str; 10] = [
    "name",
    "areas",
    "ledgers",
    "proxies_per_area",
    "proxy_capacity",
    "directories",
    "pools",
    "rules",
    "traffic",
    "region_distance_ms",
];

/// A scenario file and the faults found in it so far.
struct ScenarioReader<'file> {
    path: &'file Path,
    value: &'file JsonValue,
    faults: Vec<OptionsFault>,
}

impl Scenario {
    /// Reads and checks a scenario file; returns all faults at once.
    pub fn read(path: &Path) -> Result<Self, Vec<OptionsFault>> {
        let value = read_json_file(path).map_err(|fault| vec![fault])?;
        let mut reader = ScenarioReader {
            path,
            value: &value,
            faults: Vec::new(),
        };
        reader.check_fields();
        let zones = reader.zones();
        let controllers = reader.zone_names("ledgers", 3, &zones);
        let directories = reader.zone_names("directories", 1, &zones);
        let services = reader.services();
        reader.check_routes();
        let traffic = reader.traffic();
        if !reader.faults.is_empty() {
            return Err(reader.faults);
        }
        let region_distance = value["region_distance_ms"].as_u64().unwrap_or(20);
        Ok(Self {
            file: path.to_path_buf(),
            name: value["name"].as_str().unwrap_or("fleet").to_string(),
            zones,
            controllers,
            proxies_per_zone: number(&value, "proxies_per_area", 3),
            proxy_capacity: number(&value, "proxy_capacity", 100),
            directories,
            services,
            routes: value["rules"].clone(),
            traffic,
            region_distance: Duration::from_millis(region_distance),
        })
    }
}

impl ScenarioReader<'_> {
    fn fault(&mut self, field: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(OptionsFault {
            file: self.path.display().to_string(),
            field: field.into(),
            remedy: remedy.into(),
        });
    }

    fn check_fields(&mut self) {
        for (name, _) in self.value.entries() {
            if !KNOWN_FIELDS.contains(&name) {
                self.fault(name, "is not a known field: remove it");
            }
        }
    }

    /// Returns the zones, each with its region.
    fn zones(&mut self) -> Vec<(String, String)> {
        let read = |zone: &JsonValue| (text(zone, "name"), text(zone, "region"));
        let zones: Vec<(String, String)> = self.value["areas"].members().map(read).collect();
        let is_incomplete =
            |(name, region): &(String, String)| name.is_empty() || region.is_empty();
        if zones.is_empty() || zones.iter().any(is_incomplete) {
            self.fault("areas", "list at least one, each with name and region");
        }
        zones
    }

    /// Returns a list of zone names, which must have at least this many entries.
    fn zone_names(
        &mut self,
        field: &str,
        required: usize,
        zones: &[(String, String)],
    ) -> Vec<String> {
        let names: Vec<String> = self.value[field]
            .members()
            .map(|name| name.as_str().unwrap_or_default().to_string())
            .collect();
        if names.len() < required {
            self.fault(field, format!("list at least {required} zone names"));
        }
        for name in &names {
            if !zones.iter().any(|(zone, _)| zone == name) {
                self.fault(field, format!("{name} is not one of the areas"));
            }
        }
        names
    }

    fn services(&mut self) -> Vec<ServicePlan> {
        let read = |service: &JsonValue| ServicePlan {
            name: text(service, "name"),
            instances: number(service, "instances", 0),
            capacity: number(service, "capacity", 50),
            work_ms: u64::from(number(service, "work_ms", 3)),
            service: service["pool"].clone(),
        };
        let services: Vec<ServicePlan> = self.value["pools"].members().map(read).collect();
        for (index, service) in services.iter().enumerate() {
            if service.name.is_empty() || service.instances == 0 {
                self.fault(
                    format!("pools[{index}]"),
                    "specify a name and at least one instance",
                );
            }
        }
        services
    }

    fn check_routes(&mut self) {
        let routes = &self.value["rules"];
        if routes.is_empty() || !routes.is_array() {
            self.fault("rules", "list at least one rule");
        }
    }

    fn traffic(&mut self) -> Vec<Traffic> {
        let mut traffic = Vec::new();
        for (index, item) in self.value["traffic"].members().enumerate() {
            match read_traffic(item) {
                Some(kind) => traffic.push(kind),
                None => self.fault(
                    format!("traffic[{index}]"),
                    "specify host, path, method and per_second",
                ),
            }
        }
        if traffic.is_empty() {
            self.fault("traffic", "list at least one kind of request");
        }
        traffic
    }
}

fn read_traffic(item: &JsonValue) -> Option<Traffic> {
    Some(Traffic {
        host: item["host"].as_str()?.to_string(),
        path: item["path"].as_str()?.to_string(),
        method: item["method"].as_str()?.parse().ok()?,
        per_second: item["per_second"].as_u64()?,
        body_bytes: item["body_bytes"].as_usize().unwrap_or(0),
        keys: item["keys"].as_u64().unwrap_or(0),
    })
}

fn text(item: &JsonValue, name: &str) -> String {
    item[name].as_str().unwrap_or_default().to_string()
}

fn number(item: &JsonValue, name: &str, default_value: u32) -> u32 {
    item[name].as_u32().unwrap_or(default_value)
}
