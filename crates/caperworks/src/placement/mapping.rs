//! The mapping that the solver writes, and whether a new one differs enough to be written.

use crate::identifiers::Zone;
use crate::map_items::{GroupPlacement, Mapping, Share};
use crate::placement::capacity::Site;
use crate::placement::groups::ClientGroup;
use crate::placement::proposals::GroupAssignment;

/// A new mapping is written when a share changes by more than this many percentage points.
const SHARE_CHANGE_THRESHOLD_PERCENT: u32 = 10;

/// Returns the placement of one group. It lists the complete preference list and not only the sites with
/// units, so that a directory can fall back to the group's next choices when no site with units is alive.
pub(super) fn group_placement(
    group: ClientGroup,
    sites: &[Site],
    assignment: GroupAssignment,
) -> GroupPlacement {
    let shares = group
        .list
        .iter()
        .map(|(site, _)| Share {
            zone: sites[*site].zone.clone(),
            units: assignment.units.get(site).copied().unwrap_or(0),
        })
        .collect();
    GroupPlacement {
        group: group.group,
        route: group.route,
        shares,
        unplaced: assignment.unplaced,
    }
}

/// Returns whether a new mapping differs enough from the last one to be proposed.
///
/// A change of the number of proxies counts only when it grows, or falls by more than a fifth: proxies
/// divide shared limits by it, and the restart of one proxy does not justify a write.
pub fn is_worth_writing(last: Option<&Mapping>, next: &Mapping) -> bool {
    let Some(last) = last else {
        return true;
    };
    let proxies_changed = next.proxies > last.proxies || next.proxies * 5 < last.proxies * 4;
    if proxies_changed || last.groups.len() != next.groups.len() || last.epoch != next.epoch {
        return true;
    }
    let mut pairs = last.groups.iter().zip(&next.groups);
    pairs.any(|(before, after)| differs(before, after))
}

fn differs(before: &GroupPlacement, after: &GroupPlacement) -> bool {
    if before.group != after.group || before.route != after.route {
        return true;
    }
    let mut shares = before.shares.iter().chain(&after.shares);
    shares.any(|share| {
        let (old, new) = (percent(before, &share.zone), percent(after, &share.zone));
        old.abs_diff(new) > SHARE_CHANGE_THRESHOLD_PERCENT
    })
}

/// Returns the share of a group's units that a zone gets, in percent.
fn percent(placement: &GroupPlacement, zone: &Zone) -> u32 {
    let total: u32 = placement.shares.iter().map(|share| share.units).sum();
    let units = placement
        .shares
        .iter()
        .find(|share| share.zone == *zone)
        .map_or(0, |share| share.units);
    units * 100 / total.max(1)
}
