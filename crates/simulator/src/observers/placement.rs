//! Measures how much of the traffic each new mapping moves.

use crate::observers::Observers;
use caperworks::identifiers::{Version, Zone};
use caperworks::map_items::{GroupPlacement, Mapping};
use caperworks::placement::UNSEEN_GROUP;

impl Observers {
    /// Records a controller's mapping; for a new one, adds up how much of each group it moves.
    pub fn mapping_changed(&mut self, version: Version, mapping: &Mapping) {
        let Some((known, last)) = &self.last_mapping else {
            self.last_mapping = Some((version, mapping.clone()));
            return;
        };
        if version <= *known {
            return;
        }
        let part = |placement: &GroupPlacement, zone: &Zone| -> f64 {
            let total: u32 = placement.shares.iter().map(|share| share.units).sum();
            let units = placement
                .shares
                .iter()
                .find(|share| share.zone == *zone)
                .map_or(0, |share| share.units);
            f64::from(units) / f64::from(total.max(1))
        };
        let (mut moved, mut groups) = (0.0, 0.0);
        for after in &mapping.groups {
            let before = last
                .groups
                .iter()
                .find(|before| before.group == after.group && before.route == after.route);
            let Some(before) = before.filter(|_| after.group != UNSEEN_GROUP) else {
                continue;
            };
            groups += 1.0;
            moved += after
                .shares
                .iter()
                .map(|share| (part(after, &share.zone) - part(before, &share.zone)).max(0.0))
                .sum::<f64>();
        }
        self.tally.mappings += 1;
        self.tally.moved_percent += (100.0 * moved / f64::max(groups, 1.0)) as u64;
        self.last_mapping = Some((version, mapping.clone()));
    }
}
