//! Chooses the instance for an attempt.

use std::time::Duration;

use crate::dispatch::{target_of, Failure, ProxyState, ServiceShard, Target};
use crate::facts::{Heartbeat, InstanceState};
use crate::identifiers::{stable_hash, InstanceId, ServiceName, Zone};
use crate::map_items::{Route, Service};
use crate::replicated_map::MapName;

/// The load per slot up to which instances of a tier are chosen before those of the next one. The
/// tiers are the zone of the proxy, its region, and other regions.
const TIER_LOAD_LIMITS: [f64; 3] = [1.25, 2.0, 2.0];

/// The eligible instances by distance: in the zone of the proxy, in its region, and in other
/// regions.
type DistanceTiers<'heartbeats> = [Vec<&'heartbeats Heartbeat>; 3];

impl ServiceShard {
    /// Chooses an instance: first in the same zone, then in the region, and only in the home
    /// regions of the route.
    pub fn choose(
        &mut self,
        now: Duration,
        proxy_state: &ProxyState,
        own_zone: &Zone,
        route: &Route,
        key: Option<&str>,
        excluded: &[InstanceId],
    ) -> Result<Target, Failure> {
        self.choose_in_service(
            now,
            proxy_state,
            own_zone,
            route,
            &route.service,
            key,
            excluded,
        )
    }

    /// Chooses an instance of one of the services that the requests of the route are split over.
    #[allow(clippy::too_many_arguments)]
    pub fn choose_in_service(
        &mut self,
        now: Duration,
        proxy_state: &ProxyState,
        own_zone: &Zone,
        route: &Route,
        service_name: &ServiceName,
        key: Option<&str>,
        excluded: &[InstanceId],
    ) -> Result<Target, Failure> {
        let service = proxy_state
            .service(service_name)
            .ok_or(Failure::NoInstance)?;
        if service.keyed {
            return self.choose_owner(
                now,
                proxy_state,
                route,
                service_name,
                service,
                key,
                excluded,
            );
        }
        let own_region = proxy_state.regions.get(own_zone);
        let heartbeats = proxy_state
            .by_service
            .get(service_name)
            .ok_or(Failure::NoInstance)?;
        let mut tiers: DistanceTiers<'_> = Default::default();
        let mut fallback_tiers: DistanceTiers<'_> = Default::default();
        for heartbeat in heartbeats {
            if heartbeat.state == InstanceState::Draining
                || proxy_state.closed_zones.contains(&heartbeat.zone)
                || excluded.contains(&heartbeat.id)
            {
                continue;
            }
            let region = proxy_state.regions.get(&heartbeat.zone);
            if !route.allows_region(region) {
                continue;
            }
            let tier = match (heartbeat.zone == *own_zone, region == own_region) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            match self.is_presumed_alive(now, heartbeat, proxy_state) {
                true => tiers[tier].push(heartbeat),
                false => fallback_tiers[tier].push(heartbeat),
            }
        }
        if now < self.last_ejection_ends {
            self.limit_ejections(now, &tiers);
        }
        // The second pass ignores the load limits: when all instances are busy, waiting nearby is
        // better than waiting far away.
        for load_limits in [TIER_LOAD_LIMITS, [f64::MAX; 3]] {
            if let Some(heartbeat) =
                self.pick_in_tiers(now, &tiers, service, proxy_state, load_limits)
            {
                return Ok(target_of(heartbeat, None, None));
            }
        }
        if proxy_state.majority_lacks_heartbeats(service_name) {
            for tier in &mut fallback_tiers {
                tier.retain(|heartbeat| self.is_fallback_candidate(heartbeat));
            }
            let any_load = [f64::MAX; 3];
            if let Some(heartbeat) =
                self.pick_in_tiers(now, &fallback_tiers, service, proxy_state, any_load)
            {
                return Ok(target_of(heartbeat, None, None));
            }
        }
        Err(Failure::NoInstance)
    }

    /// Picks an instance in the first tier that has one below the load limit of the tier.
    fn pick_in_tiers<'heartbeats>(
        &mut self,
        now: Duration,
        tiers: &DistanceTiers<'heartbeats>,
        service: &Service,
        proxy_state: &ProxyState,
        load_limits: [f64; 3],
    ) -> Option<&'heartbeats Heartbeat> {
        tiers
            .iter()
            .zip(load_limits)
            .find_map(|(tier, load_limit)| self.pick(now, tier, service, proxy_state, load_limit))
    }

    /// Ends all ejections when more than half of the eligible instances are ejected.
    ///
    /// That many failures indicate a fault of the network path and not of the instances, and the
    /// remaining instances would be overloaded by all the traffic.
    fn limit_ejections(&mut self, now: Duration, tiers: &DistanceTiers<'_>) {
        let eligible: usize = tiers.iter().map(Vec::len).sum();
        let ejected = tiers
            .iter()
            .flatten()
            .filter(|heartbeat| now < self.stats_for(heartbeat).ejected_until)
            .count();
        if ejected * 2 > eligible {
            for heartbeat in tiers.iter().flatten() {
                self.stats_for(heartbeat).ejected_until = Duration::ZERO;
            }
        }
    }

    /// Picks within a tier: an instance in slow start whose rate admits a request, or else the less
    /// loaded of two random ones.
    fn pick<'heartbeats>(
        &mut self,
        now: Duration,
        tier: &[&'heartbeats Heartbeat],
        service: &Service,
        proxy_state: &ProxyState,
        load_limit: f64,
    ) -> Option<&'heartbeats Heartbeat> {
        let proxies = proxy_state.proxies;
        // Instances in slow start come first when their rate admits a request: that is seldom the
        // case, and an instance that is never chosen never warms up.
        for heartbeat in tier {
            if self.is_in_slow_start(now, heartbeat, service, proxy_state)
                && self.has_capacity(now, heartbeat, service, proxies)
                && self.slow_start_admits(now, heartbeat, service, proxy_state)
            {
                return Some(heartbeat);
            }
        }
        // Random picks are tried before a scan: nearly always one of two is free, and looking at
        // all instances would be the largest part of the cost of a request.
        let mut best: Option<&Heartbeat> = None;
        for _ in 0..2 {
            let candidate = *tier.get(self.random_source.below(tier.len() as u64) as usize)?;
            if self.is_in_slow_start(now, candidate, service, proxy_state)
                || !self.has_capacity(now, candidate, service, proxies)
                || self.relative_load(now, candidate) > load_limit
            {
                continue;
            }
            best = match best {
                Some(best)
                    if self.relative_load(now, best) <= self.relative_load(now, candidate) =>
                {
                    Some(best)
                }
                _ => Some(candidate),
            };
        }
        if best.is_some() {
            return best;
        }
        let start = self.random_source.below(tier.len() as u64) as usize;
        (0..tier.len())
            .map(|offset| tier[(start + offset) % tier.len()])
            .find(|heartbeat| {
                !self.is_in_slow_start(now, heartbeat, service, proxy_state)
                    && self.has_capacity(now, heartbeat, service, proxies)
                    && self.relative_load(now, heartbeat) <= load_limit
            })
    }

    /// Returns the owner of the key, if it can take the request.
    #[allow(clippy::too_many_arguments)]
    fn choose_owner(
        &mut self,
        now: Duration,
        proxy_state: &ProxyState,
        route: &Route,
        service_name: &ServiceName,
        service: &Service,
        key: Option<&str>,
        excluded: &[InstanceId],
    ) -> Result<Target, Failure> {
        let key = key.ok_or(Failure::MissingKey)?;
        let key_range = service.key_range_of(key).ok_or(Failure::BadKey)?;
        let owner = proxy_state
            .maps
            .map(MapName::Ownership)
            .key_ranges(service_name)
            .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
            .ok_or(Failure::NoOwner)?;
        let heartbeat = proxy_state
            .instances
            .get(&owner.instance)
            .filter(|heartbeat| heartbeat.incarnation == owner.incarnation)
            .filter(|heartbeat| proxy_state.owner_serves(now, heartbeat))
            .filter(|heartbeat| !proxy_state.closed_zones.contains(&heartbeat.zone))
            .filter(|heartbeat| route.allows_region(proxy_state.regions.get(&heartbeat.zone)))
            // An owner that stated that it does not hold the key range will not hold it a moment
            // later, so another attempt would be wasted.
            .filter(|heartbeat| !excluded.contains(&heartbeat.id))
            .ok_or(Failure::NoOwner)?;
        let key = stable_hash(key);
        // The limit per key keeps one hot key from taking the whole capacity of its owner.
        self.key_share = f64::from(service.key_cap) / f64::from(proxy_state.proxies.max(1));
        let max_in_flight = (self.key_share as u32).max(1);
        let is_hot = self
            .keys
            .get(&key)
            .is_some_and(|stats| stats.in_flight >= max_in_flight || now < stats.paused_until);
        let may_serve = self.is_presumed_alive(now, heartbeat, proxy_state)
            || (proxy_state.majority_lacks_heartbeats(service_name)
                && self.is_fallback_candidate(heartbeat));
        if !may_serve {
            return Err(Failure::NoOwner);
        }
        if (is_hot && !self.ignore_key_cap)
            || !self.has_capacity(now, heartbeat, service, proxy_state.proxies)
            || !self.slow_start_admits(now, heartbeat, service, proxy_state)
        {
            return Err(Failure::NoInstance);
        }
        Ok(target_of(
            heartbeat,
            Some((key_range, owner.epoch)),
            Some(key),
        ))
    }
}
