//! Verifies that instances that were warming up got no more requests than they take.

use std::collections::BTreeMap;

use runtime::scenario::Scenario;

use crate::verify::JournalEntry;

/// Milliseconds after which every proxy must limit its requests to an instance that begins to warm up: as long
/// as earlier reports count as current, and the polls on the way.
const NOTICE_MS: u128 = 1500;

/// A time in which an instance was warming up, in milliseconds of the wall clock.
#[derive(Debug, Clone)]
pub(super) struct WarmUp {
    pub(super) instance: String,
    pub(super) from: u128,
    pub(super) to: u128,
}

/// How many requests an instance that is warming up takes in a second, by service.
pub(super) type SlowStartLimits = BTreeMap<String, usize>;

/// Returns the limits of a scenario's services.
pub(super) fn limits_of(scenario: &Scenario) -> SlowStartLimits {
    let limit = |rate: f64| (rate * 1.5) as usize + 5;
    let services = scenario.services.iter();
    services
        .filter_map(|plan| {
            let rate = plan.service["gentle_per_second"].as_f64()?;
            Some((plan.name.clone(), limit(rate)))
        })
        .collect()
}

/// Returns how many warm-ups had a second in which the instance got more requests than it takes.
pub(super) fn count_floods(
    runs: &[JournalEntry],
    warm_ups: &[WarmUp],
    limits: &SlowStartLimits,
) -> usize {
    let is_flooded = |warm_up: &&WarmUp| {
        let service = warm_up.instance.rsplit_once('-');
        let Some(limit) = service.and_then(|(service, _)| limits.get(service)) else {
            return false;
        };
        let mut arrivals: Vec<u128> = runs
            .iter()
            .filter(|run| run.instance == warm_up.instance)
            .map(|run| run.from)
            .filter(|from| (warm_up.from + NOTICE_MS..warm_up.to).contains(from))
            .collect();
        arrivals.sort_unstable();
        let in_second = |first: &u128| {
            let until = first + 1000;
            arrivals
                .iter()
                .filter(|at| (*first..until).contains(*at))
                .count()
        };
        arrivals.iter().any(|first| in_second(first) > *limit)
    };
    warm_ups.iter().filter(is_flooded).count()
}
