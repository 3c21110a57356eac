//! The versions that this controller had in the last few seconds.
//!
//! While changes go on, no other node has what this controller has at the same moment: it learns of each change
//! a little later. So a replica is compared with what this controller had some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use caperworks::identifiers::Version;

/// How far back the versions are known.
const RETENTION: Duration = Duration::from_secs(3);

/// The versions of all maps at some time.
#[derive(Debug, Clone)]
struct Sample {
    since: Duration,
    versions: Vec<Version>,
}

/// The versions that this controller had recently, each with the time since which it had them.
#[derive(Debug, Clone, Default)]
pub struct RecentVersions {
    samples: VecDeque<Sample>,
}

impl RecentVersions {
    /// Records the versions that this controller has now.
    pub fn record(&mut self, now: Duration, versions: Vec<Version>) {
        if self.samples.back().map(|sample| &sample.versions) == Some(&versions) {
            return;
        }
        let since = now;
        self.samples.push_back(Sample { since, versions });
        while self
            .samples
            .get(1)
            .is_some_and(|second| second.since + RETENTION <= now)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the versions that this controller had at a time, or the oldest that are known.
    pub fn at(&self, time: Duration) -> Option<&[Version]> {
        let sample = self.samples.iter().rfind(|sample| sample.since <= time);
        let sample = sample.or(self.samples.front())?;
        Some(&sample.versions)
    }
}
