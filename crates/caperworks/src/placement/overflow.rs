//! Overflow: assigns the units that are left over after the proposals.

use crate::placement::capacity::Site;
use crate::placement::groups::ClientGroup;
use crate::placement::proposals::GroupAssignment;

/// Up to how many percent of its capacity a site is filled rather than leave units unplaced.
pub const OVERFLOW_PERCENT: u32 = 130;

/// Assigns the units that are left over: first where proxies have spare capacity while instances of
/// other zones serve the requests, then up to [`OVERFLOW_PERCENT`] of the proxies' capacity.
///
/// After a large loss of capacity a slow response from a full site is better than none; the bound keeps
/// a single site from being overloaded by all remaining units.
pub(super) fn assign_overflow(
    groups: &[ClientGroup],
    sites: &[Site],
    assigned: &mut [u32],
    assignments: &mut [GroupAssignment],
) {
    for percent in [100, OVERFLOW_PERCENT] {
        for (group, assignment) in groups.iter().zip(assignments.iter_mut()) {
            for (site, _) in &group.list {
                if assignment.unplaced == 0 {
                    break;
                }
                let limit = u64::from(sites[*site].proxy_capacity) * u64::from(percent) / 100;
                let spare = (limit as u32).saturating_sub(assigned[*site]);
                let overflow = spare.min(assignment.unplaced);
                if overflow > 0 {
                    assigned[*site] += overflow;
                    assignment.unplaced -= overflow;
                    *assignment.units.entry(*site).or_default() += overflow;
                }
            }
        }
    }
}
