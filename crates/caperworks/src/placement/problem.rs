//! The problem instance: for each route, its sites with their capacity and its groups with their demand.

use std::collections::{BTreeMap, HashMap};

use crate::home_bounds::HomeBounds;
use crate::identifiers::{Region, RouteName, ServiceName, Zone};
use crate::instances::Instances;
use crate::map_items::{GroupPlacement, Mapping, Route};
use crate::members::Members;
use crate::placement::capacity::{instance_capacity, Site};
use crate::placement::demand::DemandTable;
use crate::placement::distance::GroupLocation;
use crate::placement::groups::{ClientGroup, UNSEEN_GROUP};
use crate::placement::hosts::{first_routes_of_hosts, home_bounds};
use crate::placement::preference_list::rank_sites;
use crate::replicated_map::ReplicatedMap;

/// The input from which the solver derives its problem.
pub struct ProblemView<'view> {
    /// The configuration map.
    pub configuration: &'view ReplicatedMap,
    /// The known instances.
    pub instances: &'view Instances,
    /// The known members, with the demand that proxies report.
    pub members: &'view Members,
    /// The current mapping.
    pub last: Option<&'view Mapping>,
    /// Requests a second for each unit of an instance's capacity.
    pub requests_per_slot: u32,
    /// Whether proxies outside a route's home regions accept its requests and forward them home.
    pub forwards_to_home: bool,
    /// Whether directories respond per host, so that all routes of a host are placed as one.
    pub by_host: bool,
}

/// The problem instance of all routes.
pub(super) struct Problem<'problem> {
    view: &'problem ProblemView<'problem>,
    demand: &'problem DemandTable,
    /// By zone, the capacity of its ready proxies.
    open_sites: &'problem BTreeMap<Zone, u32>,
    regions: BTreeMap<Zone, Region>,
    instance_capacity: BTreeMap<(ServiceName, Zone), u32>,
    /// By route, its groups with their units of demand.
    groups: BTreeMap<RouteName, Vec<(String, u32)>>,
    /// By route, its load for each unit of capacity if it is spread over all sites that it may use.
    expected_load: BTreeMap<RouteName, f64>,
    /// By zone, the sum of the expected loads of the routes that may use it.
    expected_load_at: BTreeMap<Zone, f64>,
    last: HashMap<(&'problem str, &'problem RouteName), &'problem GroupPlacement>,
    home_bounds: BTreeMap<RouteName, HomeBounds>,
}

impl<'problem> Problem<'problem> {
    pub(super) fn new(
        view: &'problem ProblemView<'problem>,
        demand: &'problem DemandTable,
        open_sites: &'problem BTreeMap<Zone, u32>,
    ) -> Self {
        let regions = view
            .configuration
            .zones()
            .map(|(zone, settings)| (zone, settings.region.clone()))
            .collect();
        let first_routes = first_routes_of_hosts(view);
        let last = view
            .last
            .iter()
            .flat_map(|mapping| &mapping.groups)
            .map(|placement| ((placement.group.as_str(), &placement.route), placement))
            .collect();
        let mut problem = Self {
            view,
            demand,
            open_sites,
            regions,
            instance_capacity: instance_capacity(view),
            groups: groups_by_route(view, demand, &first_routes),
            expected_load: BTreeMap::new(),
            expected_load_at: BTreeMap::new(),
            last,
            home_bounds: home_bounds(view, &first_routes),
        };
        problem.compute_expected_loads();
        problem
    }

    fn compute_expected_loads(&mut self) {
        let routes = self.view.configuration.routes();
        self.expected_load = routes
            .map(|(name, route)| {
                let groups = self.groups.get(&name).into_iter().flatten();
                let demand: f64 = groups.map(|(_, units)| f64::from(*units)).sum();
                let usable: f64 = self
                    .open_sites
                    .iter()
                    .filter(|(zone, _)| self.may_use(route, zone))
                    .map(|(_, capacity)| f64::from(*capacity))
                    .sum();
                (name, demand / usable.max(1.0))
            })
            .collect();
        let mut expected_load_at: BTreeMap<Zone, f64> = BTreeMap::new();
        for (name, route) in self.view.configuration.routes() {
            for zone in self.open_sites.keys() {
                if self.may_use(route, zone) {
                    *expected_load_at.entry(zone.clone()).or_default() += self.expected_load[&name];
                }
            }
        }
        self.expected_load_at = expected_load_at;
    }

    /// Returns whether proxies of a zone may accept requests on a route.
    fn may_use(&self, route: &Route, zone: &Zone) -> bool {
        self.view.forwards_to_home || route.allows_region(self.regions.get(zone))
    }

    /// Returns the routes that are placed, with their groups; only the first one of each host if
    /// directories respond per host.
    pub(super) fn routes(
        &self,
    ) -> impl Iterator<Item = (RouteName, &'problem Route, &[(String, u32)])> + '_ {
        let routes = self.view.configuration.routes();
        routes.filter_map(|(name, route)| {
            let groups = self.groups.get(&name)?;
            Some((name, route, groups.as_slice()))
        })
    }

    /// Returns the sites of a route, with the route's share of their capacity.
    ///
    /// The proxies of a site serve all routes that may use it, so their capacity is divided in proportion
    /// to the load that is expected at this site: a route that is bound to few sites needs more of each.
    pub(super) fn sites(&self, name: &RouteName, route: &Route) -> Vec<Site> {
        let usable = self
            .open_sites
            .iter()
            .filter(|(zone, _)| self.may_use(route, zone));
        usable
            .map(|(zone, proxies)| {
                let total = self.expected_load_at[zone].max(f64::MIN_POSITIVE);
                let fraction = self.expected_load[name] / total;
                let proxy_capacity = (f64::from(*proxies) * fraction).ceil() as u32;
                let instances = self
                    .instance_capacity
                    .get(&(route.service.clone(), zone.clone()))
                    .copied()
                    .unwrap_or(0);
                Site {
                    zone: zone.clone(),
                    capacity: proxy_capacity.min(instances),
                    proxy_capacity,
                }
            })
            .collect()
    }

    /// Returns a group with its demand and its preference list over the sites of its route.
    pub(super) fn group(
        &self,
        group: &str,
        route: &RouteName,
        demand: u32,
        sites: &[Site],
    ) -> ClientGroup {
        let last = self.last_sites(group, route, sites);
        let key = (group.to_string(), route.clone());
        let location = GroupLocation {
            measured: self.demand.measured.get(&key),
            client_zone: self.demand.client_zones.get(group),
            regions: &self.regions,
        };
        let bounds = self.home_bounds.get(route);
        let client_region = location.region();
        let list = rank_sites(group, sites, &last, |zone| {
            let region = self.regions.get(zone);
            let is_allowed = bounds.is_none_or(|bounds| bounds.allows(region, client_region));
            is_allowed.then(|| location.distance_to(zone))
        });
        ClientGroup {
            group: group.to_string(),
            route: route.clone(),
            demand,
            list,
            last,
        }
    }

    /// Returns the sites that the current mapping assigns to a group.
    fn last_sites(&self, group: &str, route: &RouteName, sites: &[Site]) -> Vec<usize> {
        let placement = self.last.get(&(group, route));
        let shares = placement.iter().flat_map(|placement| &placement.shares);
        shares
            .filter(|share| share.units > 0)
            .filter_map(|share| sites.iter().position(|site| site.zone == share.zone))
            .collect()
    }
}

/// Returns the groups with their units of demand, by placed route: the group of all unseen clients with
/// one unit, and the measured ones with at least one.
fn groups_by_route(
    view: &ProblemView<'_>,
    demand: &DemandTable,
    first_routes: &BTreeMap<RouteName, RouteName>,
) -> BTreeMap<RouteName, Vec<(String, u32)>> {
    let is_placed = |name: &RouteName| first_routes.get(name).is_none_or(|first| first == name);
    let mut groups: BTreeMap<RouteName, Vec<(String, u32)>> = view
        .configuration
        .routes()
        .filter(|(name, _)| is_placed(name))
        .map(|(name, _)| (name, vec![(UNSEEN_GROUP.to_string(), 1)]))
        .collect();
    for ((group, route), measured) in &demand.measured {
        if let Some(groups) = groups.get_mut(route) {
            groups.push((group.clone(), measured.requests.ceil().max(1.0) as u32));
        }
    }
    groups
}
