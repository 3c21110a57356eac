//! A scenario file: describes a fleet of the test tools and its traffic.

mod reader;

use std::path::PathBuf;
use std::time::Duration;

use hyper::Method;
use jzon::JsonValue;

/// A service with its instances.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// How many instances it has.
    pub instances: u32,
    /// The number of requests that an instance processes concurrently.
    pub capacity: u32,
    /// How long an instance takes for a request, in milliseconds.
    pub work_ms: u64,
    /// The service as it is put into the configuration.
    pub service: JsonValue,
}

/// One kind of request that clients send.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// The host that requests name.
    pub host: String,
    /// The path.
    pub path: String,
    /// The method.
    pub method: Method,
    /// Requests per second.
    pub per_second: u64,
    /// The length of a body.
    pub body_bytes: usize,
    /// How many different keys requests have; zero for requests without keys.
    pub keys: u64,
}

/// A fleet and the traffic that it receives.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The scenario file.
    pub file: PathBuf,
    /// The name of the fleet.
    pub name: String,
    /// The zones, each with its region.
    pub zones: Vec<(String, String)>,
    /// The zones of the controllers, one for each.
    pub controllers: Vec<String>,
    /// How many proxies each zone has.
    pub proxies_per_zone: u32,
    /// Requests per second that a proxy is intended to serve.
    pub proxy_capacity: u32,
    /// The zones of the directories, one for each.
    pub directories: Vec<String>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The routes as they are put into the configuration.
    pub routes: JsonValue,
    /// The traffic.
    pub traffic: Vec<Traffic>,
    /// The round-trip time between two regions.
    pub region_distance: Duration,
}

impl Scenario {
    /// Returns the change set with the configuration of the fleet.
    pub fn configuration(&self) -> JsonValue {
        let mut puts = JsonValue::new_array();
        let mut add = |put: JsonValue| {
            // This cannot fail, since `puts` is an array.
            let _ = puts.push(put);
        };
        for (name, region) in &self.zones {
            add(jzon::object! {
                kind: "area",
                name: name.as_str(),
                area: { region: region.as_str(), closed: false },
            });
        }
        for service in &self.services {
            add(jzon::object! {
                kind: "pool",
                name: service.name.as_str(),
                pool: service.service.clone(),
            });
        }
        for route in self.routes.members() {
            let mut put = route.clone();
            put["kind"] = "rule".into();
            add(put);
        }
        jzon::object! { id: format!("{}-first", self.name), put: puts }
    }
}
