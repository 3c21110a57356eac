//! The history of confirmed operator versions of one item.
//!
//! Operators assign versions to items themselves, and two of them may choose the same version. The
//! history records which contents were confirmed under a version, so that only one of two different
//! contents is ever confirmed, and a call that is repeated after a lost response is recognised.

/// How many confirmed versions of one item are remembered.
///
/// An operator has up to eight calls in flight, and a repeated call must still be recognised after the
/// calls of two operators have been committed before it.
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
        /// Ordered by version, the highest last.
        0 confirmed: Vec<ConfirmedVersion>,
        /// The highest version that may have been removed from the history.
        1 forgotten: u64,
    }
}

/// How the operator version of a put relates to the versions confirmed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// Higher than every confirmed version: the put takes effect.
    Newest,
    /// The same contents were confirmed under this version.
    Confirmed,
    /// Other contents were confirmed under this version.
    Taken(ConfirmedVersion),
    /// A higher version is confirmed, and nothing was ever confirmed under this one.
    Superseded,
    /// So old that the contents confirmed under it are no longer in the history.
    Forgotten,
}

/// Returns a 128-bit digest for comparing contents; it is the same on every node and in every build.
///
/// It is not cryptographic, because it only has to distinguish a handful of contents, nobody gains
/// from a collision, and small machines compute it for thousands of short texts.
pub fn digest_128(bytes: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(bytes)
}

/// Returns a digest of an operator's text of an item; `None` means that the item was dropped.
///
/// It covers the text and not the parsed value: a later release may parse more of the same text, and
/// must still recognise a call that was confirmed before the upgrade.
pub fn contents_digest(text: Option<&str>) -> u64 {
    match text {
        Some(text) => xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), 1),
        None => xxhash_rust::xxh3::xxh3_64(&[]),
    }
}

impl VersionHistory {
    /// Creates the history of an item that was stored before histories were introduced.
    pub fn from_stored(confirmed: ConfirmedVersion) -> Self {
        Self {
            confirmed: vec![confirmed],
            forgotten: confirmed.version.saturating_sub(1),
        }
    }

    /// Returns the highest confirmed version.
    pub fn newest(&self) -> Option<ConfirmedVersion> {
        self.confirmed.last().copied()
    }

    /// Returns how a put relates to the confirmed versions.
    pub fn status_of(&self, put: ConfirmedVersion) -> VersionStatus {
        let known = self
            .confirmed
            .iter()
            .find(|known| known.version == put.version);
        match (known, self.newest()) {
            (Some(known), _) if known.digest == put.digest => VersionStatus::Confirmed,
            (Some(known), _) => VersionStatus::Taken(*known),
            (None, _) if put.version <= self.forgotten => VersionStatus::Forgotten,
            (None, Some(newest)) if put.version < newest.version => VersionStatus::Superseded,
            (None, _) => VersionStatus::Newest,
        }
    }

    /// Records that these contents are confirmed under this version, and removes the lowest version if
    /// there are more than [`REMEMBERED_VERSIONS`].
    ///
    /// Called only for [`VersionStatus::Newest`] and [`VersionStatus::Superseded`], so that a version
    /// never has two different contents.
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
