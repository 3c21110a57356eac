//! What was confirmed under the operators' own versions of one item.
//!
//! Operators number an item themselves, and two of them may pick the same number. The history tells
//! "these contents were confirmed under this version" from "other contents were", so that exactly
//! one of the two is ever confirmed, and a call that is sent again after a lost answer is known.

/// How many confirmed versions of one item are remembered.
///
/// Why so many: an operator has up to eight calls under way, and a call is to be known after as many
/// others of two operators have overtaken it.
pub const REMEMBERED_VERSIONS: usize = 16;

crate::messages! {
    /// A version of an item, with a digest of the contents that were confirmed under it.
    #[derive(Copy, Eq)]
    struct ConfirmedVersion {
        0 version: u64,
        1 digest: u64,
    }

    #[derive(Eq, Default)]
    struct VersionHistory {
        /// The highest version comes last.
        0 confirmed: Vec<ConfirmedVersion>,
        /// Up to this version it is not known any more what was confirmed.
        1 forgotten: u64,
    }
}

/// How a put under the operators' own version stands to what was confirmed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStanding {
    /// Higher than every version so far: its contents are to stand.
    Newest,
    /// The same contents were confirmed under this version.
    Confirmed,
    /// Other contents were confirmed under this version.
    Taken(ConfirmedVersion),
    /// A higher version stands, and nothing was ever confirmed under this one.
    Overtaken,
    /// So old that it is not known any more what was confirmed under it.
    Forgotten,
}

/// The digest of bytes by which contents are told apart: the same on every node and in every build.
///
/// Why XXH3: equal contents are to be known among a handful, nobody gains by a collision, and thousands
/// of short texts are digested on small machines.
pub fn wide_digest(bytes: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(bytes)
}

/// A digest of what an operator wrote of an item; none written means that it was dropped.
///
/// Why of the text and not of its meaning to us: a later release may read more of the same text,
/// and a call that was confirmed before must still be known after it.
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

    pub fn newest(&self) -> Option<ConfirmedVersion> {
        self.confirmed.last().copied()
    }

    pub fn standing(&self, put: ConfirmedVersion) -> VersionStanding {
        let known = self
            .confirmed
            .iter()
            .find(|known| known.version == put.version);
        match (known, self.newest()) {
            (Some(known), _) if known.digest == put.digest => VersionStanding::Confirmed,
            (Some(known), _) => VersionStanding::Taken(*known),
            (None, _) if put.version <= self.forgotten => VersionStanding::Forgotten,
            (None, Some(newest)) if put.version < newest.version => VersionStanding::Overtaken,
            (None, _) => VersionStanding::Newest,
        }
    }

    /// Remembers that these contents are confirmed under this version.
    pub fn confirm(&mut self, put: ConfirmedVersion) {
        let place = self
            .confirmed
            .partition_point(|known| known.version < put.version);
        self.confirmed.insert(place, put);
        if self.confirmed.len() > REMEMBERED_VERSIONS {
            let lowest = self.confirmed.remove(0);
            self.forgotten = self.forgotten.max(lowest.version);
        }
    }
}
