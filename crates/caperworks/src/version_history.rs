//! What was confirmed under the operators' own versions of one item.
//!
//! Operators number an item themselves, and two of them may pick the same number. The history tells
//! "these contents were confirmed under this version" from "other contents were", so that exactly
//! one of the two is ever confirmed, and a call that is sent again after a lost answer is known.

/// How many confirmed versions of one item are remembered.
///
/// An operator has up to eight calls in flight, and a call must be recognised after as many others of
/// two operators have overtaken it.
pub const REMEMBERED_VERSIONS: usize = 16;

crate::messages! {
    /// A version of an item, with a digest of the contents that were confirmed under it.
    #[derive(Copy, Eq)]
    struct ConfirmedVersion {
        0 version: u64,
        1 digest: u64,
    }

    /// The confirmed versions of one item.
    #[derive(Eq, Default)]
    struct VersionHistory {
        /// The highest version comes last.
        0 confirmed: Vec<ConfirmedVersion>,
        /// Up to this version it is not known any more what was confirmed.
        1 forgotten: u64,
    }
}

/// How a put under an operators' version relates to what was confirmed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// Higher than every version so far: its contents apply.
    Newest,
    /// The same contents were confirmed under this version.
    Confirmed,
    /// Other contents were confirmed under this version.
    Taken(ConfirmedVersion),
    /// A higher version is confirmed, and nothing was ever confirmed under this one.
    Overtaken,
    /// So old that it is not known any more what was confirmed under it.
    Forgotten,
}

/// A digest by which contents are compared: the same on every node and in every build.
///
/// It is not cryptographic: equal contents have to be recognised among a handful, nobody gains by a
/// collision, and thousands of short texts are digested on small machines.
pub fn wide_digest(bytes: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(bytes)
}

/// A digest of the text that an operator wrote of an item; no text means that it was dropped.
///
/// It covers the text and not what was parsed from it: a later release may read more of the same
/// text, and a call that was confirmed before must still be recognised after it.
pub fn contents_digest(text: Option<&str>) -> u64 {
    match text {
        Some(text) => xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), 1),
        None => xxhash_rust::xxh3::xxh3_64(&[]),
    }
}

impl VersionHistory {
    /// The history of an item that was stored before histories were kept.
    pub fn of_stored(confirmed: ConfirmedVersion) -> Self {
        Self {
            confirmed: vec![confirmed],
            forgotten: confirmed.version.saturating_sub(1),
        }
    }

    /// The highest confirmed version.
    pub fn newest(&self) -> Option<ConfirmedVersion> {
        self.confirmed.last().copied()
    }

    /// How a put relates to the history.
    pub fn standing(&self, put: ConfirmedVersion) -> VersionStatus {
        let known = self
            .confirmed
            .iter()
            .find(|known| known.version == put.version);
        match (known, self.newest()) {
            (Some(known), _) if known.digest == put.digest => VersionStatus::Confirmed,
            (Some(known), _) => VersionStatus::Taken(*known),
            (None, _) if put.version <= self.forgotten => VersionStatus::Forgotten,
            (None, Some(newest)) if put.version < newest.version => VersionStatus::Overtaken,
            (None, _) => VersionStatus::Newest,
        }
    }

    /// Records that these contents are confirmed under this version; forgets the lowest version when
    /// there are more than [`REMEMBERED_VERSIONS`].
    ///
    /// Called only for [`VersionStanding::Newest`] and [`VersionStanding::Overtaken`], so that a version
    /// never has two contents.
    pub fn confirm(&mut self, put: ConfirmedVersion) {
        let index = self
            .confirmed
            .partition_point(|known| known.version < put.version);
        self.confirmed.insert(index, put);
        if self.confirmed.len() > REMEMBERED_VERSIONS {
            let lowest = self.confirmed.remove(0);
            self.forgotten = self.forgotten.max(lowest.version);
        }
    }
}
