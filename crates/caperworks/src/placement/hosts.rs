//! Hosts: if directories respond per host and not per route, all routes of a host are placed as one,
//! under the host's first route.

use std::collections::BTreeMap;

use crate::home_bounds::HomeBounds;
use crate::identifiers::RouteName;
use crate::map_items::Route;
use crate::placement::problem::ProblemView;

/// Returns the first route of the host of each route; empty if directories respond per route.
pub(super) fn first_routes_of_hosts(view: &ProblemView<'_>) -> BTreeMap<RouteName, RouteName> {
    let mut first_routes = BTreeMap::new();
    let mut by_host: BTreeMap<&str, RouteName> = BTreeMap::new();
    if view.by_host {
        for (name, route) in view.configuration.routes() {
            let first = by_host.entry(&route.host).or_insert_with(|| name.clone());
            first_routes.insert(name, first.clone());
        }
    }
    first_routes
}

/// Returns the regions whose proxies clients may use, by route; the first route of a host is bound by
/// all routes of the host.
pub(super) fn home_bounds(
    view: &ProblemView<'_>,
    first_routes: &BTreeMap<RouteName, RouteName>,
) -> BTreeMap<RouteName, HomeBounds> {
    let mut bound_by: BTreeMap<RouteName, Vec<&Route>> = BTreeMap::new();
    for (name, route) in view.configuration.routes() {
        let first = first_routes.get(&name).cloned().unwrap_or(name);
        bound_by.entry(first).or_default().push(route);
    }
    bound_by
        .into_iter()
        .map(|(name, routes)| (name, HomeBounds::of(routes.into_iter())))
        .collect()
}
