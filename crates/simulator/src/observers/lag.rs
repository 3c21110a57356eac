//! Checks of the time within which followers receive accepted versions.

use crate::observers::invariants::Invariant;
use crate::observers::Observers;
use caperworks::identifiers::Version;
use std::time::Duration;

/// The version of a follower that can reach the controllers.
pub struct FollowerLag<'world> {
    pub index: usize,
    pub name: &'world str,
    pub held: Version,
    /// Lag counts from this time on.
    pub measured_from: Duration,
}

impl Observers {
    /// Checks a follower's version against the accepted ones; reports a violation once per missing
    /// version.
    pub fn check_lag(&mut self, at: Duration, follower: &FollowerLag<'_>, max_lag: Duration) {
        let missing = self.accepted_at.range(follower.held.next()..).next();
        let Some((version, accepted_at)) = missing else {
            return;
        };
        let version = *version;
        let lag = at.saturating_sub((*accepted_at).max(follower.measured_from));
        self.tally.most_lag = self.tally.most_lag.max(lag);
        let known = self.reported_late_versions.get(&follower.index);
        if lag <= max_lag || known == Some(&version) {
            return;
        }
        self.reported_late_versions.insert(follower.index, version);
        let details = format!(
            "{} has version {}, but {version} was accepted at {accepted_at:?}",
            follower.name, follower.held
        );
        self.record_violation(Invariant::LateFollower, at, details);
    }
}
