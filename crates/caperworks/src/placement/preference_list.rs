//! The truncated preference list of a client group (section 7.4.3 of the source).

use crate::identifiers::{stable_hash, Zone};
use crate::placement::capacity::Site;
use crate::placement::groups::{ClientGroup, UNSEEN_GROUP};

/// How many sites a group ranks.
pub const LIST_LENGTH: usize = 3;
/// By how many microseconds a site that a group already uses counts as nearer: small changes in what
/// is measured must not move clients (section 7.3.4).
pub const STABILITY_BONUS: u32 = 2_000;

/// Ranks the sites for a group, nearest first, and truncates the list to [`LIST_LENGTH`].
///
/// `last` are the sites of the last mapping; `distance` gives microseconds, or nothing for a site that
/// the group may not use. The group that stands for all unseen clients keeps every site: it has no
/// distance to rank by, and each directory puts its own zone first.
///
/// Ties are broken by a hash of both names and not by the site's name alone: many groups that see all
/// sites alike would otherwise rank them alike and fill them one after the other.
pub fn ranked(
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
                measured.saturating_sub(STABILITY_BONUS)
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

/// What a unit of the group at this position of its list loses by a rejection there: the additional
/// distance to its next choice, or the most there is where it has none.
pub(super) fn rejection_loss(group: &ClientGroup, position: usize) -> u32 {
    let (site, distance) = group.list[position];
    let bonus = if group.last.contains(&site) {
        STABILITY_BONUS
    } else {
        0
    };
    match group.list.get(position + 1) {
        Some((_, next)) => (next - distance.min(*next)).saturating_add(bonus),
        None => u32::MAX,
    }
}
