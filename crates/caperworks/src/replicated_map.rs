//! Replicated maps: the durable state that must never be lost or diverge between nodes.
//!
//! A map is a set of named items, each with its own version, and a map version that counts the
//! committed change sets. Followers use the map version as their position in the feed. A change set is
//! applied completely or not at all: `apply` contains the effect of a change on a map, `lookups` the
//! typed reads, and [`change_check`](crate::change_check) the check whether a change may be proposed.

use std::collections::BTreeMap;
use std::fmt;

use crate::identifiers::{stable_hash_of, ChangeId, Version};
use crate::map_items::Value;
use crate::placement::LIST_LENGTH;
use crate::reduced_map::FeedForm;
use crate::shared_items::Items;
use crate::version_history::{contents_digest, ConfirmedVersion, VersionHistory};

mod apply;
mod lookups;

/// How many committed change ids a map remembers, so that a repeated change gets the same result as
/// the first time.
pub const REMEMBERED_CHANGES: usize = 512;

messages! {
    /// The replicated maps; each is decided by a proposer of its own.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    enum MapName {
        /// The operators' configuration: routes, services, zones, limits on callers.
        0 Configuration,
        /// The mapping of client groups to zones.
        1 Placement,
        /// The owners of key ranges.
        2 Ownership,
        /// Voters, agents and leadership terms.
        3 Membership,
    }

    /// An item as written by an operator: the operator version, and the text.
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

    /// One item of a change set. `expected` is the version that the writer read; zero means absent.
    ///
    /// With `written`, the highest operator version wins: a lower version changes nothing, whether the
    /// item was set or dropped, and an equal version with other contents is rejected.
    #[derive(Eq)]
    struct Put {
        0 key: String,
        1 expected: Option<Version>,
        2 value: Option<Value>,
        3 written: Option<Written>,
    }

    /// A precondition: an item that the change does not modify must still be at this version.
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

    /// A recently committed change, remembered so that a repetition of it can be recognised.
    #[derive(Eq)]
    struct RecentChange {
        0 id: ChangeId,
        /// The version of the map that it produced.
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
        /// The most recent committed changes, at most [`REMEMBERED_CHANGES`], oldest first.
        2 recent_changes: Vec<RecentChange>,
        /// For each item, the operator versions that were confirmed. Absent in states that were stored
        /// before histories were introduced.
        #[cbor(default)]
        3 histories: BTreeMap<String, VersionHistory>,
        /// Whether the map is complete or reduced; a voter installs only a complete one. Stored as a
        /// flag, which is absent in states of the first release.
        #[cbor(default, with = "crate::reduced_map::form_as_flag")]
        4 form: FeedForm,
    }

    /// An item that is not at the version that a change expects.
    #[derive(Eq)]
    struct Conflict {
        0 key: String,
        /// The version that the writer read.
        1 expected: Version,
        /// The current version in the map; zero if the item is absent.
        2 current: Version,
    }

    /// An item whose operator version in a change was already confirmed with other contents.
    #[derive(Eq)]
    struct TakenVersion {
        0 key: String,
        /// The confirmed contents under the version in the change.
        1 confirmed: ConfirmedVersion,
        /// The highest confirmed version, which may be later.
        2 newest: ConfirmedVersion,
    }
}

/// The key of a guard on the version of the map itself, as read by the writer of the change.
///
/// No item has this key. The guard limits the age of a change, see
/// [`ChangeCheck::IdForgotten`](crate::change_check::ChangeCheck::IdForgotten).
pub const MAP_VERSION_GUARD: &str = "map";

/// The item that contains the fencing token: a new leader of a role writes it to fence off the
/// previous leader.
pub const FENCE: &str = "fence";

/// The item of the configuration map that contains the limits on callers.
pub const LIMITS: &str = "limits/callers";

/// The item of the membership map that lists the agents.
pub const FALLBACK_MEMBERS: &str = "roster";

/// The item of the membership map that lists the voters.
pub const VOTERS: &str = "seats";

/// All maps, in the order of [`MapName::index`].
pub const ALL_MAPS: [MapName; 4] = [
    MapName::Configuration,
    MapName::Placement,
    MapName::Ownership,
    MapName::Membership,
];

impl MapName {
    /// Returns its index in lists with one entry per map.
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
    /// Returns the operator version with a digest of the contents, unless the version is 0;
    /// `is_present` is false for an item that was dropped.
    fn confirmed(&self, is_present: bool) -> Option<ConfirmedVersion> {
        let text = is_present.then_some(self.text.as_str());
        (self.version > 0).then(|| ConfirmedVersion {
            version: self.version,
            digest: contents_digest(text),
        })
    }
}

impl Put {
    /// Returns the operator version, if any, with a digest of the contents.
    ///
    /// Version 0 counts as none: it only sets an item that is absent.
    pub fn operator_version(&self) -> Option<ConfirmedVersion> {
        self.written.as_ref()?.confirmed(self.value.is_some())
    }
}

impl Item {
    /// Returns the operator version under which it was written, if any, with a digest of the contents.
    fn operator_version(&self) -> Option<ConfirmedVersion> {
        self.written
            .as_ref()?
            .confirmed(self.value != Value::Dropped)
    }
}

impl Change {
    /// Returns the approximate size of the change in items, which bounds histories and responses.
    pub fn weight(&self) -> usize {
        let value_weight = |value: &Value| match value {
            Value::Mapping { mapping } => mapping.groups.len() * LIST_LENGTH,
            Value::KeyRanges { table } => table.owners.len(),
            _ => 1,
        };
        1 + self
            .puts
            .iter()
            .map(|put| put.value.as_ref().map_or(1, value_weight))
            .sum::<usize>()
    }

    /// Returns a digest that distinguishes two change sets with the same id. It is the same on every
    /// node.
    pub fn digest(&self) -> u64 {
        let bytes = minicbor::to_vec(&self.puts).expect("puts encode");
        stable_hash_of(&bytes)
    }
}

impl ReplicatedMap {
    /// Creates a map at version zero, before the first change.
    pub fn empty() -> Self {
        Self {
            version: Version(0),
            items: Items::new(),
            recent_changes: Vec::new(),
            histories: BTreeMap::new(),
            form: FeedForm::Complete,
        }
    }

    /// Returns whether the map omits the data that only voters need.
    pub fn is_reduced(&self) -> bool {
        self.form == FeedForm::Reduced
    }
}
