//! Typed lookups of map items. The keys are part of the stored format.

use std::net::SocketAddr;

use crate::identifiers::{RouteName, ServiceName, Version, Zone};
use crate::map_items::{
    CallerLimits, KeyRangeTable, LeadershipTerm, Mapping, Route, Service, Value, VoterSet,
    ZoneSettings,
};
use crate::partition_fallback::FallbackMembers;
use crate::replicated_map::{ReplicatedMap, FALLBACK_MEMBERS, FENCE, LIMITS, VOTERS};
use crate::shared_items::items_of_kind;

impl ReplicatedMap {
    /// Returns the version of an item, or zero if it is absent.
    pub fn item_version(&self, key: &str) -> Version {
        self.items.get(key).map_or(Version(0), |item| item.version)
    }

    /// Returns the limits on callers, if operators have set any.
    pub fn caller_limits(&self) -> Option<&CallerLimits> {
        match &self.items.get(LIMITS)?.value {
            Value::Limits { limits } => Some(limits),
            _ => None,
        }
    }

    /// Returns the voters, if this is the membership map and the system has been bootstrapped.
    pub fn voters(&self) -> Option<&VoterSet> {
        match &self.items.get(VOTERS)?.value {
            Value::VoterSet { voters } => Some(voters),
            _ => None,
        }
    }

    /// Returns the agents that may renew the leases of proxies while no controller is reachable.
    pub fn fallback_members(&self) -> Option<&FallbackMembers> {
        match &self.items.get(FALLBACK_MEMBERS)?.value {
            Value::FallbackMembers { fallback_members } => Some(fallback_members),
            _ => None,
        }
    }

    /// Returns the control addresses of all voters, or only of those that are controllers.
    pub fn voter_addresses(&self, controllers_only: bool) -> Vec<SocketAddr> {
        self.voters()
            .iter()
            .flat_map(|voters| &voters.entries)
            .filter(|entry| entry.controller || !controllers_only)
            .map(|entry| entry.address)
            .collect()
    }

    /// Returns the current term of a leadership role.
    pub fn leadership(&self, name: &str) -> Option<&LeadershipTerm> {
        match &self.items.get(&format!("duty/{name}"))?.value {
            Value::Leadership { term } => Some(term),
            _ => None,
        }
    }

    /// Returns the fencing token: the term of the last leader that took over this map. Changes of an
    /// earlier term conflict with it.
    pub fn fence(&self) -> Option<&LeadershipTerm> {
        match &self.items.get(FENCE)?.value {
            Value::Leadership { term } => Some(term),
            _ => None,
        }
    }

    /// Returns the mapping of client groups to zones.
    pub fn mapping(&self) -> Option<&Mapping> {
        match &self.items.get("mapping")?.value {
            Value::Mapping { mapping } => Some(mapping),
            _ => None,
        }
    }

    /// Returns the owners of the key ranges of a service.
    pub fn key_ranges(&self, service: &ServiceName) -> Option<&KeyRangeTable> {
        match &self.items.get(&format!("slices/{service}"))?.value {
            Value::KeyRanges { table } => Some(table),
            _ => None,
        }
    }

    /// Returns all routes, by name.
    pub fn routes(&self) -> impl Iterator<Item = (RouteName, &Route)> {
        items_of_kind(&self.items, "rule").filter_map(|(name, item)| match &item.value {
            Value::Route { route } => Some((RouteName::new(name), route)),
            _ => None,
        })
    }

    /// Returns all services, by name.
    pub fn services(&self) -> impl Iterator<Item = (ServiceName, &Service)> {
        items_of_kind(&self.items, "pool").filter_map(|(name, item)| match &item.value {
            Value::Service { service } => Some((ServiceName::new(name), service)),
            _ => None,
        })
    }

    /// Returns all zones, by name.
    pub fn zones(&self) -> impl Iterator<Item = (Zone, &ZoneSettings)> {
        items_of_kind(&self.items, "area").filter_map(|(name, item)| match &item.value {
            Value::Zone { zone } => Some((Zone::new(name), zone)),
            _ => None,
        })
    }
}
