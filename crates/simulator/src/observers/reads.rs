//! Checks of configuration versions that operators read and proxies apply.

use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::Observers;
use caperworks::identifiers::Version;

/// How long after its acceptance a version may still be missing in reads and at proxies.
pub const CONFIGURATION_LIMIT: Duration = Duration::from_millis(4000);

impl Observers {
    /// Checks a read by an operator; the version that it returns counts as accepted from then on.
    pub fn read_returned(
        &mut self,
        at: Duration,
        requested_at: Duration,
        name: &str,
        version: Version,
    ) {
        self.tally.reads += 1;
        let missed = self.accepted.iter().rev().find(|accepted| {
            accepted.version > version && accepted.at + CONFIGURATION_LIMIT < requested_at
        });
        if let Some(missed) = missed {
            let details = format!(
                "{name} returned {version}, but {} was accepted before",
                missed.version
            );
            self.record_violation(Invariant::StaleRead, at, details);
        }
        self.due_versions.push_back((at, version));
    }

    /// Checks that a proxy never goes back to an older version.
    pub fn proxy_version_seen(&mut self, at: Duration, proxy: usize, version: Version) {
        let before = self
            .proxy_versions
            .insert(proxy, version)
            .unwrap_or_default();
        if version < before {
            let details = format!("proxy {proxy} went back from {before} to {version}");
            self.record_violation(Invariant::SlippedBack, at, details);
        }
    }

    /// Records that a proxy restarted and has no version yet.
    pub fn proxy_restarted(&mut self, proxy: usize) {
        self.proxy_versions.remove(&proxy);
    }
}
