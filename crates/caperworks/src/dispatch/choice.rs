//! The choice of an instance for an attempt.

use std::time::Duration;

use crate::dispatch::{target_of, Failure, ProxyKnowledge, ServiceShard, Target};
use crate::facts::{Heartbeat, InstanceState};
use crate::identifiers::{steady_hash, InstanceId, ServiceName, Zone};
use crate::map_items::{Route, Service};
use crate::replicated_map::MapName;

/// Up to which load a slot instances are chosen before those of the next tier: the own zone, the
/// region, beyond.
const SPILL_LOADS: [f64; 3] = [1.25, 2.0, 2.0];

/// The instances that could serve, by how near they are: in the own zone, the region, beyond.
type Tiers<'heartbeats> = [Vec<&'heartbeats Heartbeat>; 3];

impl ServiceShard {
    /// Chooses an instance: same zone first, then the region, and never beyond a home region.
    pub fn choose(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_zone: &Zone,
        route: &Route,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        self.choose_in(now, knowledge, own_zone, route, &route.service, key, tried)
    }

    /// The same in one of the services that the route's requests are split over.
    #[allow(clippy::too_many_arguments)]
    pub fn choose_in(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_zone: &Zone,
        route: &Route,
        service_name: &ServiceName,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        let service = knowledge.service(service_name).ok_or(Failure::NoInstance)?;
        if service.keyed {
            return self.choose_owner(now, knowledge, route, service_name, service, key, tried);
        }
        let own_region = knowledge.regions.get(own_zone);
        let heartbeats = knowledge
            .by_service
            .get(service_name)
            .ok_or(Failure::NoInstance)?;
        let mut tiers: Tiers<'_> = Default::default();
        let mut last_resort: Tiers<'_> = Default::default();
        for heartbeat in heartbeats {
            if heartbeat.state == InstanceState::Draining
                || knowledge.closed.contains(&heartbeat.zone)
                || tried.contains(&heartbeat.id)
            {
                continue;
            }
            let region = knowledge.regions.get(&heartbeat.zone);
            if !route.allows_region(region) {
                continue;
            }
            let tier = match (heartbeat.zone == *own_zone, region == own_region) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            match self.seems_alive(now, heartbeat, knowledge) {
                true => tiers[tier].push(heartbeat),
                false => last_resort[tier].push(heartbeat),
            }
        }
        if now < self.any_ejected_until {
            self.bound_ejections(now, &tiers);
        }
        // Why near ones a second time: when all are busy, waiting near by beats waiting far away.
        for spill in [SPILL_LOADS, [f64::MAX; 3]] {
            if let Some(heartbeat) = self.pick_in(now, &tiers, service, knowledge, spill) {
                return Ok(target_of(heartbeat, None, None));
            }
        }
        if knowledge.most_are_silent(service_name) {
            for tier in &mut last_resort {
                tier.retain(|heartbeat| self.is_last_resort(heartbeat));
            }
            let any_load = [f64::MAX; 3];
            if let Some(heartbeat) = self.pick_in(now, &last_resort, service, knowledge, any_load) {
                return Ok(target_of(heartbeat, None, None));
            }
        }
        Err(Failure::NoInstance)
    }

    /// Picks in the first tier that has an instance under the load that is allowed there.
    fn pick_in<'heartbeats>(
        &mut self,
        now: Duration,
        tiers: &Tiers<'heartbeats>,
        service: &Service,
        knowledge: &ProxyKnowledge,
        most_loads: [f64; 3],
    ) -> Option<&'heartbeats Heartbeat> {
        tiers
            .iter()
            .zip(most_loads)
            .find_map(|(tier, most_load)| self.pick(now, tier, service, knowledge, most_load))
    }

    /// Takes instances back when more than half of those that could serve are put aside.
    ///
    /// Why bounded: that many failures say more of the way there than of the instances, and the rest
    /// would be sunk by all the load.
    fn bound_ejections(&mut self, now: Duration, tiers: &Tiers<'_>) {
        let known: usize = tiers.iter().map(Vec::len).sum();
        let ejected = tiers
            .iter()
            .flatten()
            .filter(|heartbeat| now < self.watch(heartbeat).ejected_until)
            .count();
        if ejected * 2 > known {
            for heartbeat in tiers.iter().flatten() {
                self.watch(heartbeat).ejected_until = Duration::ZERO;
            }
        }
    }

    /// Picks within a tier: a cold instance whose turn has come, or the less loaded of two.
    fn pick<'heartbeats>(
        &mut self,
        now: Duration,
        tier: &[&'heartbeats Heartbeat],
        service: &Service,
        knowledge: &ProxyKnowledge,
        most_load: f64,
    ) -> Option<&'heartbeats Heartbeat> {
        let proxies = knowledge.proxies;
        // Why the cold first when their turn has come: it comes seldom, and a cold instance that
        // is never chosen never warms.
        let is_warming_up = |heartbeat: &Heartbeat| knowledge.is_warming_up(heartbeat, service);
        for heartbeat in tier.iter().filter(|heartbeat| is_warming_up(heartbeat)) {
            if self.has_capacity(now, heartbeat, service, proxies)
                && self.slow_start_admits(now, heartbeat, service, knowledge)
            {
                return Some(heartbeat);
            }
        }
        // Why by drawing first: nearly always one of two drawn is free, and looking at all of them
        // for every request is what a request would mostly cost.
        let mut best: Option<&Heartbeat> = None;
        for _ in 0..2 {
            let drawn = *tier.get(self.chance.below(tier.len() as u64) as usize)?;
            if is_warming_up(drawn)
                || !self.has_capacity(now, drawn, service, proxies)
                || self.weight(now, drawn) > most_load
            {
                continue;
            }
            best = match best {
                Some(best) if self.weight(now, best) <= self.weight(now, drawn) => Some(best),
                _ => Some(drawn),
            };
        }
        if best.is_some() {
            return best;
        }
        let start = self.chance.below(tier.len() as u64) as usize;
        (0..tier.len())
            .map(|step| tier[(start + step) % tier.len()])
            .find(|heartbeat| {
                !is_warming_up(heartbeat)
                    && self.has_capacity(now, heartbeat, service, proxies)
                    && self.weight(now, heartbeat) <= most_load
            })
    }

    #[allow(clippy::too_many_arguments)]
    fn choose_owner(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        route: &Route,
        service_name: &ServiceName,
        service: &Service,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        let key = key.ok_or(Failure::MissingKey)?;
        let key_range = service.key_range_of(key).ok_or(Failure::BadKey)?;
        let owner = knowledge
            .maps
            .map(MapName::Ownership)
            .key_ranges(service_name)
            .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
            .ok_or(Failure::NoOwner)?;
        let heartbeat = knowledge
            .instances
            .get(&owner.instance)
            .filter(|heartbeat| heartbeat.incarnation == owner.incarnation)
            .filter(|heartbeat| knowledge.owner_serves(now, heartbeat))
            .filter(|heartbeat| !knowledge.closed.contains(&heartbeat.zone))
            .filter(|heartbeat| route.allows_region(knowledge.regions.get(&heartbeat.zone)))
            // Why not again: an owner that says it does not hold the key range will not hold it in the
            // next moment either, and the attempt would be wasted.
            .filter(|heartbeat| !tried.contains(&heartbeat.id))
            .ok_or(Failure::NoOwner)?;
        let key = steady_hash(key);
        // Why a cap per key: one hot key must not take all of its owner's room from the others.
        self.key_share = f64::from(service.key_cap) / f64::from(knowledge.proxies.max(1));
        let most = (self.key_share as u32).max(1);
        let hot = self
            .keys
            .get(&key)
            .is_some_and(|watch| watch.under_way >= most || now < watch.rests_until);
        let may_serve = self.seems_alive(now, heartbeat, knowledge)
            || (knowledge.most_are_silent(service_name) && self.is_last_resort(heartbeat));
        if !may_serve {
            return Err(Failure::NoOwner);
        }
        if (hot && !self.ignore_key_cap)
            || !self.has_capacity(now, heartbeat, service, knowledge.proxies)
            || !self.slow_start_admits(now, heartbeat, service, knowledge)
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
