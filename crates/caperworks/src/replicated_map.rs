//! Replicated maps: the state that may never be lost or forked.
//!
//! A map is a set of named items, each with its own version, and a map version that counts the
//! committed change sets. That count is the position of followers in the feed. A change set is applied
//! completely or not at all; what a change does to a map is in `apply`, the typed reads are in
//! `lookups`, and whether a change may be proposed is decided in
//! [`map_weighing`](crate::map_weighing).

use std::collections::BTreeMap;
use std::fmt;

use crate::identifiers::{steady_hash_of, ChangeId, Version};
use crate::map_items::Value;
use crate::placement::LIST_LENGTH;
use crate::reduced_map::FeedForm;
use crate::shared_items::Items;
use crate::version_history::{contents_digest, ConfirmedVersion, VersionHistory};

mod apply;
mod lookups;

/// How many committed change ids a map remembers, so that a repeated change gets its first answer.
pub const REMEMBERED_CHANGES: usize = 512;

messages! {
    /// The replicated maps; each is decided by a proposer of its own.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    enum MapName {
        /// What operators configure: routes, services, zones, limits on callers.
        0 Configuration,
        /// The mapping of client groups to zones.
        1 Placement,
        /// The owners of key ranges.
        2 Ownership,
        /// Voters, agents and leadership terms.
        3 Membership,
    }

    /// An item as an operator wrote it: the operator's own version of it, and the text.
    #[derive(Eq)]
    struct Written {
        0 version: u64,
        1 text: String,
    }

    /// One item of a map.
    #[derive(Eq)]
    struct Item {
        /// The version of the map at which it was last set.
        0 version: Version,
        1 value: Value,
        2 written: Option<Written>,
    }

    /// One item of a change set. `expected` is the version that the writer saw; zero means absent.
    ///
    /// With `written` the highest of the operators' own versions wins: a lower one changes nothing,
    /// whether the item was set or dropped, and an equal one is refused if it has other contents.
    #[derive(Eq)]
    struct Put {
        0 key: String,
        1 expected: Option<Version>,
        2 value: Option<Value>,
        3 written: Option<Written>,
    }

    /// A precondition: an item that a change does not touch but that must still be at this version.
    #[derive(Eq)]
    struct Guard {
        0 key: String,
        1 expected: Version,
    }

    /// A change set: applied completely or not at all.
    #[derive(Eq)]
    struct Change {
        0 id: ChangeId,
        1 puts: Vec<Put>,
        2 guards: Vec<Guard>,
    }

    /// A committed change that is remembered, to recognise its repetition.
    #[derive(Eq)]
    struct RecentChange {
        0 id: ChangeId,
        /// The version of the map that it led to.
        1 version: Version,
        /// See [`Change::digest`].
        2 digest: u64,
    }

    /// A map at one version.
    #[derive(Eq)]
    struct ReplicatedMap {
        0 version: Version,
        #[cbor(with = "crate::shared_items")]
        1 items: Items,
        /// The committed changes of late, at most [`REMEMBERED_CHANGES`], oldest first.
        2 answered: Vec<RecentChange>,
        /// By item, what was confirmed under the operators' own versions; states that were stored
        /// before histories were kept have none.
        #[cbor(default)]
        3 histories: BTreeMap<String, VersionHistory>,
        /// Whether it has all that voters need; a voter installs only a complete one. Stored as a
        /// flag, which is absent in states of the first release.
        #[cbor(default, with = "crate::reduced_map::form_as_flag")]
        4 form: FeedForm,
    }

    /// An item that is not at the version that the writer of a change expected.
    #[derive(Eq)]
    struct Conflict {
        0 key: String,
        /// The version that the writer saw.
        1 expected: Version,
        /// The version that the map has; zero when the item is absent.
        2 present: Version,
    }

    /// An item that a change wants to write under an operators' version that has other contents.
    #[derive(Eq)]
    struct TakenVersion {
        0 key: String,
        /// What was confirmed under the version that the change has.
        1 confirmed: ConfirmedVersion,
        /// The highest confirmed version, which may be a later one.
        2 newest: ConfirmedVersion,
    }
}

/// The key of a guard on the map itself: its version as the change's writer read it.
///
/// It is no item. It says how old a change may be, see
/// [`Standpoint::IdForgotten`](crate::map_weighing::Standpoint::IdForgotten).
pub const MAP_READ: &str = "map";

/// The item of the fencing token: a new leader of a role writes it to fence off the one before.
pub const FENCE: &str = "fence";

/// The item of the configuration map that bounds what callers may send.
pub const LIMITS: &str = "limits/callers";

/// The item of the membership map that lists the agents.
pub const FALLBACK_MEMBERS: &str = "roster";

/// All maps, in the order of [`MapName::index`].
pub const ALL_MAPS: [MapName; 4] = [
    MapName::Configuration,
    MapName::Placement,
    MapName::Ownership,
    MapName::Membership,
];

impl MapName {
    /// Its index in lists with one entry per map.
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for MapName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MapName::Configuration => "standing",
            MapName::Placement => "placement",
            MapName::Ownership => "tenure",
            MapName::Membership => "cohort",
        })
    }
}

impl Written {
    /// Its version with a digest of its contents; `is_present` is false for an item that was dropped.
    fn confirmed(&self, is_present: bool) -> Option<ConfirmedVersion> {
        let text = is_present.then_some(self.text.as_str());
        (self.version > 0).then(|| ConfirmedVersion {
            version: self.version,
            digest: contents_digest(text),
        })
    }
}

impl Put {
    /// Its version of the operators' own with a digest of its contents, if it has one.
    ///
    /// Version 0 counts as none: it only fills an item that is absent.
    pub fn numbered(&self) -> Option<ConfirmedVersion> {
        self.written.as_ref()?.confirmed(self.value.is_some())
    }
}

impl Item {
    /// The operators' own version that it was written under, if any, with a digest of its contents.
    fn numbered(&self) -> Option<ConfirmedVersion> {
        self.written
            .as_ref()?
            .confirmed(self.value != Value::Dropped)
    }
}

impl Change {
    /// The approximate size of the change, in items; bounds histories and answers.
    pub fn weight(&self) -> usize {
        let of_value = |value: &Value| match value {
            Value::Mapping { mapping } => mapping.groups.len() * LIST_LENGTH,
            Value::KeyRanges { table } => table.owners.len(),
            _ => 1,
        };
        1 + self
            .puts
            .iter()
            .map(|put| put.value.as_ref().map_or(1, of_value))
            .sum::<usize>()
    }

    /// A digest that tells two change sets under one id apart. It is the same on every node.
    pub fn digest(&self) -> u64 {
        let bytes = minicbor::to_vec(&self.puts).expect("puts encode");
        steady_hash_of(&bytes)
    }
}

impl ReplicatedMap {
    /// A map at version zero, before the first change.
    pub fn empty() -> Self {
        Self {
            version: Version(0),
            items: Items::new(),
            answered: Vec::new(),
            histories: BTreeMap::new(),
            form: FeedForm::Complete,
        }
    }

    /// Whether it lacks what only voters need.
    pub fn is_reduced(&self) -> bool {
        self.form == FeedForm::Reduced
    }
}
