//! The distance from a client group to a zone: measured, or estimated by region.

use std::collections::BTreeMap;

use crate::identifiers::{Region, Zone};
use crate::placement::demand::MeasuredDemand;

/// Estimated distance to a zone of the same region.
const SAME_REGION_MICROS: u32 = 3_000;
/// Estimated distance to a zone of another region.
const OTHER_REGION_MICROS: u32 = 50_000;

/// The measurements and reports from which the location of a client group is derived.
#[derive(Debug, Clone, Copy)]
pub(super) struct GroupLocation<'problem> {
    /// The distances that proxies measured.
    pub(super) measured: Option<&'problem MeasuredDemand>,
    /// The zone that its clients report.
    pub(super) client_zone: Option<&'problem Zone>,
    /// The regions of all zones.
    pub(super) regions: &'problem BTreeMap<Zone, Region>,
}

impl<'problem> GroupLocation<'problem> {
    /// Returns the region of the clients: the one of the zone that they report, or else that of the
    /// nearest measured zone.
    pub(super) fn region(&self) -> Option<&'problem Region> {
        let nearest = || {
            let distances = self.measured?.distance.iter();
            let nearest = distances.min_by(|one, other| one.1.total_cmp(other.1))?;
            Some(nearest.0)
        };
        self.regions.get(self.client_zone.or_else(nearest)?)
    }

    /// Returns the distance to a zone in microseconds.
    ///
    /// Without any measurement it is estimated from the zone that the clients report. With some, a zone
    /// that was not measured is assumed to be near the measured ones of its region: zones of one region
    /// are about a millisecond apart.
    pub(super) fn distance_to(&self, zone: &Zone) -> u32 {
        let measured = self
            .measured
            .filter(|measured| !measured.distance.is_empty());
        let Some(measured) = measured else {
            return self.estimate_by_client_zone(zone);
        };
        if let Some(micros) = measured.distance.get(zone) {
            return *micros as u32;
        }
        measured
            .distance
            .iter()
            .filter(|(known, _)| self.regions.get(*known) == self.regions.get(zone))
            .map(|(_, micros)| *micros as u32 + SAME_REGION_MICROS)
            .min()
            .unwrap_or(OTHER_REGION_MICROS)
    }

    fn estimate_by_client_zone(&self, zone: &Zone) -> u32 {
        match self.client_zone {
            Some(client_zone) if client_zone == zone => 0,
            Some(client_zone) if self.regions.get(client_zone) == self.regions.get(zone) => {
                SAME_REGION_MICROS
            }
            _ => OTHER_REGION_MICROS,
        }
    }
}
