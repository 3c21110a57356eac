//! Finds the route of a request by its host and path.

use std::sync::Arc;

use crate::identifiers::RouteName;
use crate::map_items::{Route, Value};
use crate::replicated_map::{Item, ReplicatedMap};
use crate::shared_items::Items;

/// A route with its name, shared by all requests that use it.
pub type NamedRoute = (RouteName, Arc<Route>);

/// The routes of one host by path.
type RoutesByPath = imbl::HashMap<String, NamedRoute>;

/// Routes by host and path.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The items that the table was built from; a later configuration shares all unchanged items
    /// with it.
    items: Items,
    by_host: imbl::HashMap<String, RoutesByPath>,
}

impl RouteTable {
    /// Builds the table of a configuration map.
    pub fn of(map: &ReplicatedMap) -> Self {
        Self::default().updated_to(map)
    }

    /// Returns the table of a later configuration. The cost is proportional to the changes between
    /// the two.
    pub fn updated_to(&self, map: &ReplicatedMap) -> Self {
        let mut table = self.clone();
        let mut added = Vec::new();
        for change in self.items.diff(&map.items) {
            let (old, new) = match change {
                imbl::ordmap::DiffItem::Add(key, item) => (None, Some((key, item))),
                imbl::ordmap::DiffItem::Update { old, new } => (Some(old), Some(new)),
                imbl::ordmap::DiffItem::Remove(key, item) => (Some((key, item)), None),
            };
            if let Some((_, route)) = old.and_then(|(key, item)| route_of(key, item)) {
                table.remove(route);
            }
            added.extend(new.and_then(|(key, item)| route_of(key, item)));
        }
        // Added only after every removed route is gone, since a route may take the host and path of
        // a removed one.
        for (name, route) in added {
            table.insert(name, route);
        }
        table.items = map.items.clone();
        table
    }

    fn remove(&mut self, route: &Route) {
        let host = normalized_host(&route.host);
        let Some(routes) = self.by_host.get_mut(&host) else {
            return;
        };
        routes.remove(&route.path);
        if routes.is_empty() {
            self.by_host.remove(&host);
        }
    }

    fn insert(&mut self, name: RouteName, route: &Route) {
        self.by_host
            .entry(normalized_host(&route.host))
            .or_default()
            .insert(route.path.clone(), (name, Arc::new(route.clone())));
    }

    /// Returns the routes of one host, in no particular order.
    pub fn routes_of_host(&self, host: &str) -> impl Iterator<Item = &NamedRoute> {
        let host = normalized_host(host);
        self.by_host
            .get(&host)
            .into_iter()
            .flat_map(|routes| routes.values())
    }

    /// Returns the route with the longest path prefix, on segment boundaries: one of the exact
    /// host, or else one of the host `*`.
    ///
    /// Each prefix of the path is looked up: a host may have thousands of routes, while a path has
    /// only a few segments.
    pub fn find(&self, host: &str, path: &str) -> Option<&NamedRoute> {
        let host = normalized_host(host);
        [host.as_str(), "*"]
            .iter()
            .find_map(|host| longest_prefix(self.by_host.get(*host)?, path))
    }
}

/// Returns the name and value of an item that is a route.
fn route_of<'item>(key: &str, item: &'item Item) -> Option<(RouteName, &'item Route)> {
    match (key.strip_prefix("rule/"), &item.value) {
        (Some(name), Value::Route { route }) => Some((RouteName::new(name), route)),
        _ => None,
    }
}

/// Returns the host name in lower case and without its port.
pub(super) fn normalized_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.chars().all(|character| character.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Returns the route with the longest prefix of a path. A prefix ends on a segment boundary:
/// `/sign` must not match `/signal`.
fn longest_prefix<'routes>(
    routes: &'routes RoutesByPath,
    path: &str,
) -> Option<&'routes NamedRoute> {
    let path = path.split('?').next().unwrap_or_default();
    if let Some(found) = routes.get(path) {
        return Some(found);
    }
    let mut remaining = path;
    while let Some(slash) = remaining.rfind('/') {
        let found = routes
            .get(&path[..=slash])
            .or_else(|| routes.get(&path[..slash]));
        if found.is_some() {
            return found;
        }
        remaining = &path[..slash];
    }
    None
}
