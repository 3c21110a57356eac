//! The truncated preference list of a client group (section 7.4.3 of the source).

use crate::identifiers::{stable_hash, Zone};
use crate::placement::capacity::Site;
use crate::placement::groups::{ClientGroup, UNSEEN_GROUP};

/// Maximum length of a preference list.
pub const LIST_LENGTH: usize = 3;
/// A site that a group already uses counts as nearer by this much, so that small changes of the
/// measurements do not move clients (section 7.3.4).
pub const STABILITY_BONUS_MICROS: u32 = 2_000;

/// Ranks the sites for a group, nearest first, and truncates the list to [`LIST_LENGTH`].
///
/// `last` are the sites of the last mapping; `distance` returns microseconds, or `None` for a site that
/// the group may not use. The list of the group of all unseen clients is not truncated: it has no
/// distances to rank by, and each directory puts its own zone first.
///
/// Ties are broken by a hash of both names and not by the site's name alone: otherwise groups with equal
/// distances to all sites would rank them in the same order and fill them one after the other.
pub fn rank_sites(
    group: &str,
    sites: &[Site],
    last: &[usize],
    distance: impl Fn(&Zone) -> Option<u32>,
) -> Vec<(usize, u32)> {
    let mut list: Vec<(u32, u64, usize)> = sites
        .iter()
        .enumerate()
        .filter_map(|(index, site)| {
            let measured = distance(&site.zone)?;
            let distance = if last.contains(&index) {
                measured.saturating_sub(STABILITY_BONUS_MICROS)
            } else {
                measured
            };
            let tie_break = stable_hash(&format!("{group} {}", site.zone));
            Some((distance, tie_break, index))
        })
        .collect();
    list.sort();
    if group != UNSEEN_GROUP {
        list.truncate(LIST_LENGTH);
    }
    list.into_iter()
        .map(|(distance, _, index)| (index, distance))
        .collect()
}

/// Returns the cost of a rejection for a unit of the group at this position of its list: the additional
/// distance to its next choice, or the maximum if there is none.
pub(super) fn rejection_loss(group: &ClientGroup, position: usize) -> u32 {
    let (site, distance) = group.list[position];
    let bonus = if group.last.contains(&site) {
        STABILITY_BONUS_MICROS
    } else {
        0
    };
    match group.list.get(position + 1) {
        Some((_, next)) => (next - distance.min(*next)).saturating_add(bonus),
        None => u32::MAX,
    }
}
