//! Demand: what proxies measure for each client group, smoothed over time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::Role;
use crate::identifiers::{RouteName, Zone};
use crate::placement::hosts::first_routes_of_hosts;
use crate::placement::problem::ProblemView;

/// How long a group without requests stays in the problem.
const IDLE_GROUP_RETENTION: Duration = Duration::from_secs(60);
/// The weights of the smoothed demand and of a lower reported one in their average.
const DEMAND_WEIGHTS: (f64, f64) = (0.7, 0.3);
/// The weights of the smoothed distance and of the reported one in their average.
const DISTANCE_WEIGHTS: (f64, f64) = (0.8, 0.2);
/// Longer measured distances are capped at this value.
const MAX_DISTANCE_MICROS: u128 = 10_000_000;

/// A client group's requests on one route.
pub(super) type DemandKey = (String, RouteName);

/// What proxies have measured for one client group on one route.
#[derive(Debug, Clone, Default)]
pub(super) struct MeasuredDemand {
    /// Requests a second, smoothed.
    pub(super) requests: f64,
    /// Smoothed distance in microseconds, by zone.
    pub(super) distance: BTreeMap<Zone, f64>,
    reported_at: Duration,
}

/// The sum of the current reports of all proxies.
#[derive(Default)]
struct ReportedDemand {
    requests: u32,
    distances: BTreeMap<Zone, u32>,
}

/// The demand of all client groups.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandTable {
    pub(super) measured: BTreeMap<DemandKey, MeasuredDemand>,
    /// By group, the zone that its clients report.
    pub(super) client_zones: BTreeMap<String, Zone>,
}

impl DemandTable {
    /// Merges the current reports of the proxies. The demand of routes that share a host is counted for
    /// the host's first route, see [`first_routes_of_hosts`](super::hosts::first_routes_of_hosts).
    pub(super) fn update(&mut self, now: Duration, view: &ProblemView<'_>) {
        let reports = sum_reports(view);
        for reported in view.members.iter().flat_map(|member| &member.client_zones) {
            self.client_zones
                .insert(reported.group.clone(), reported.zone.clone());
        }
        for (key, measured) in &mut self.measured {
            if !reports.contains_key(key) {
                measured.requests *= DEMAND_WEIGHTS.0;
            }
        }
        for (key, report) in reports {
            self.measured.entry(key).or_default().smooth(now, report);
        }
        self.measured
            .retain(|_, measured| now.saturating_sub(measured.reported_at) < IDLE_GROUP_RETENTION);
    }
}

impl MeasuredDemand {
    /// Merges a report. Demand rises at once and falls slowly, as too little capacity is worse than too
    /// much.
    fn smooth(&mut self, now: Duration, report: ReportedDemand) {
        let reported = f64::from(report.requests);
        self.requests = if reported > self.requests {
            reported
        } else {
            DEMAND_WEIGHTS.0 * self.requests + DEMAND_WEIGHTS.1 * reported
        };
        self.reported_at = now;
        for (zone, micros) in report.distances {
            let distance = self.distance.entry(zone).or_insert(f64::from(micros));
            *distance = DISTANCE_WEIGHTS.0 * *distance + DISTANCE_WEIGHTS.1 * f64::from(micros);
        }
    }
}

/// Sums the requests over all proxies, and takes the shortest distance to each zone.
fn sum_reports(view: &ProblemView<'_>) -> BTreeMap<DemandKey, ReportedDemand> {
    let first_routes = first_routes_of_hosts(view);
    let mut reports: BTreeMap<DemandKey, ReportedDemand> = BTreeMap::new();
    let proxies = view
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy);
    for proxy in proxies {
        for demand in &proxy.demand {
            let route = first_routes.get(&demand.route).unwrap_or(&demand.route);
            let report = reports
                .entry((demand.group.clone(), route.clone()))
                .or_default();
            report.requests += demand.requests;
            let micros = demand.distance.as_micros().min(MAX_DISTANCE_MICROS) as u32;
            if micros > 0 {
                let nearest = report.distances.entry(proxy.zone.clone()).or_insert(micros);
                *nearest = (*nearest).min(micros);
            }
        }
    }
    reports
}
