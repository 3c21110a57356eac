//! The check that the message rate of a node does not grow with the fleet.

use std::path::Path;

use anyhow::bail;

use crate::scale::options::ScaleOptions;
use crate::scale::run::run_in_new_runtime;

/// Node counts of the two fleets that the check compares.
pub(crate) const CHECKED_NODES: [u32; 2] = [8, 24];
/// Maximum ratio of the messages per node between the larger and the smaller fleet: far above random
/// variation, and far below the ratio of 3 of a node that exchanges messages with all others.
pub(crate) const MAX_GROWTH: f64 = 1.5;

/// Returns whether the messages per node in the larger fleet are within [`MAX_GROWTH`] of the smaller one.
pub fn growth_is_bounded(smaller: f64, larger: f64) -> bool {
    smaller > 0.0 && larger <= MAX_GROWTH * smaller
}

/// Compares the messages per node of two fleet sizes. Message counts do not depend on the speed of the
/// machine.
pub(crate) fn check(options: &ScaleOptions, folder: &Path) -> anyhow::Result<bool> {
    let mut counts = Vec::new();
    for nodes in CHECKED_NODES {
        let sized = ScaleOptions {
            nodes,
            ..options.clone()
        };
        let report = run_in_new_runtime(&sized, folder)?;
        report.print();
        // The comparison means nothing if the controllers have not registered all simulated nodes, if
        // simulated nodes are voters, or if no change was accepted.
        if !report.settled || report.simulated_voters > 0 || report.accepted == 0 {
            bail!(
                "invalid run: simulated nodes were not registered or became voters, or no change was \
                 accepted"
            );
        }
        counts.push(report.node_messages);
    }
    println!(
        "messages per node and minute: {:.1} of {} nodes, {:.1} of {}: ratio {:.3}, at most {MAX_GROWTH}",
        counts[0],
        CHECKED_NODES[0],
        counts[1],
        CHECKED_NODES[1],
        counts[1] / counts[0]
    );
    Ok(growth_is_bounded(counts[0], counts[1]))
}
