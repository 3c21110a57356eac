//! Clients: they look up proxies at a directory and send requests.

use std::net::IpAddr;
use std::time::Duration;

use crate::actors::request::ClientRequest;
use crate::world::events::{NodeEvent, ScheduledEvent};
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::identifiers::Zone;
use caperworks::placement::group_of;

/// Percentage of clients that use a proxy address they remember, without a directory lookup.
const REMEMBERED_PROXY_PERCENT: u64 = 3;

impl World {
    pub(super) fn generate_traffic(&mut self, kind: usize) {
        let percent = self.day.traffic_percent * self.surge_percent / 100;
        let rate = (self.scenario.traffic[kind].per_second * percent).max(1);
        let mean = 100_000_000 / rate;
        let next = Duration::from_micros(mean / 2 + self.random.below(mean + 1));
        if self.now + next < self.day.traffic_until {
            self.schedule(self.now + next, ScheduledEvent::ClientTraffic { kind });
        }
        let keys = self.scenario.traffic[kind].keys;
        let key = (keys > 0).then(|| format!("key-{}", self.random.below(keys)));
        self.send_request(kind, key, Some(kind));
    }

    pub(super) fn generate_hot_key_traffic(&mut self) {
        let Some((kind, per_second)) = self.hot_key else {
            return;
        };
        let mean = 1_000_000 / u64::from(per_second.max(1));
        let next = Duration::from_micros(mean / 2 + self.random.below(mean + 1));
        self.schedule(self.now + next, ScheduledEvent::HotKeyTraffic);
        self.send_request(kind, Some("key-hot".to_string()), None);
    }

    /// Looks up a proxy and sends it one request; `counted` is the kind of traffic, or `None` for a
    /// hot key.
    fn send_request(&mut self, kind: usize, key: Option<String>, counted_kind: Option<usize>) {
        let traffic = self.scenario.traffic[kind].clone();
        self.next_request += 1;
        let number = self.next_request;
        let group = self.random.below(12) as u8;
        let client = IpAddr::from([127, 10, group, 1]);
        // Each group of clients is located near one zone.
        let home =
            Zone::new(&self.scenario.zones[usize::from(group) % self.scenario.zones.len()].0);
        let write = traffic.method != "GET";
        self.observers
            .request_sent(self.now, number, write, counted_kind);
        // Some clients keep addresses for long and skip the lookup. The invariants must hold for
        // them as well.
        let uses_remembered_proxy = self.random.below(100) < REMEMBERED_PROXY_PERCENT;
        let directories: Vec<usize> = (0..self.nodes.len())
            .filter(|index| matches!(self.nodes[*index].process, Some(Process::Directory(_))))
            .filter(|index| !self.nodes[*index].frozen)
            .collect();
        let mut addresses = Vec::new();
        if uses_remembered_proxy {
            let proxies = self.targets("proxy");
            let proxy = proxies[self.random.below(proxies.len() as u64) as usize];
            addresses.push(self.nodes[proxy].address);
        } else if !directories.is_empty() {
            let start = self.random.below(directories.len() as u64) as usize;
            for offset in 0..directories.len() {
                // Clients try the next directory when one returns no proxy.
                let index = directories[(start + offset) % directories.len()];
                if let Some(Process::Directory(machine)) = &mut self.nodes[index].process {
                    if let Ok(found) = machine.find(&traffic.host, &traffic.path, client) {
                        addresses = found.addresses;
                        break;
                    }
                }
            }
        }
        let request = ClientRequest {
            number,
            host: traffic.host,
            path: traffic.path,
            write,
            key,
            sent_at: self.now,
            received_at: self.now,
            kind: counted_kind,
        };
        for address in addresses {
            let Some(index) = self.by_address.get(&address).copied() else {
                continue;
            };
            if self.nodes[index].process.is_some() {
                let same_region =
                    self.regions.get(&home) == self.regions.get(&self.nodes[index].zone);
                let distance = if home == self.nodes[index].zone {
                    Duration::from_millis(4)
                } else if same_region {
                    Duration::from_millis(6)
                } else {
                    self.scenario.region_distance + Duration::from_millis(4)
                };
                let group = group_of(client);
                let event = NodeEvent::RequestArrived {
                    request,
                    group,
                    locality: distance,
                };
                self.schedule_for_node(index, distance / 2, event);
                return;
            }
        }
    }
}
