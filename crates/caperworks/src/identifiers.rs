//! The project's words: the macro that declares every message, and the newtypes.

use std::time::Duration;

/// Declares messages with the derives that all of them share.
///
/// `struct` and `enum` members carry their wire number before their name; the numbers are the
/// compatibility contract, so a member may be added under a new number but never renumbered.
/// `number` and `text` declare newtypes.
#[macro_export]
macro_rules! messages {
    () => {};
    ($(#[$meta:meta])* struct $name:ident {
        $($(#[$note:meta])* $index:literal $field:ident : $kind:ty),* $(,)?
    } $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, minicbor::Encode, minicbor::Decode)]
        pub struct $name { $($(#[$note])* #[n($index)] pub $field: $kind),* }
        $crate::messages! { $($rest)* }
    };
    ($(#[$meta:meta])* enum $name:ident {
        $($(#[$note:meta])* $number:literal $variant:ident $({ $($index:literal $field:ident : $kind:ty),* $(,)? })?),* $(,)?
    } $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, minicbor::Encode, minicbor::Decode)]
        pub enum $name { $($(#[$note])* #[n($number)] $variant $({ $(#[n($index)] $field: $kind),* })?),* }
        $crate::messages! { $($rest)* }
    };
    ($(#[$meta:meta])* number $name:ident; $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                 minicbor::Encode, minicbor::Decode)]
        #[cbor(transparent)]
        pub struct $name(#[n(0)] pub u64);
        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
        $crate::messages! { $($rest)* }
    };
    ($(#[$meta:meta])* text $name:ident; $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                 minicbor::Encode, minicbor::Decode)]
        #[cbor(transparent)]
        pub struct $name(#[n(0)] pub String);
        impl $name {
            /// The identifier with this text.
            pub fn new(text: impl Into<String>) -> Self { Self(text.into()) }
            /// Its text.
            pub fn as_str(&self) -> &str { &self.0 }
        }
        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self { Self(text.to_string()) }
        }
        $crate::messages! { $($rest)* }
    };
}

messages! {
    /// One life of one process of ours: a controller keeps it on disk, all others draw it anew.
    number NodeId;
    /// The version of an item or of a map. It only ever grows.
    number Version;
    /// The term of a leadership role or of a key range's owner; lower ones are refused.
    number Epoch;
    /// One life of an instance, as the instance itself numbers it; a later life has a higher one.
    number Incarnation;
    /// A zone: one place that can lose power as a whole.
    text Zone;
    /// Zones that lie close to one another.
    text Region;
    /// A service of like instances.
    text ServiceName;
    /// A rule's name; it also names the service that the rule leads to.
    text RouteName;
    /// What an instance calls itself.
    text InstanceId;
    /// The operator's name for one change set; a repeat of it gets the first answer.
    text ChangeId;
}

impl Version {
    /// The version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// A small seeded source of chance (splitmix), so that a run can be played again from its seed.
#[derive(Debug, Clone)]
pub struct RandomSource {
    state: u64,
}

impl RandomSource {
    /// A source with this seed: equal seeds give equal draws.
    pub fn seeded(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// A number below `limit`; zero when the limit is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 {
            0
        } else {
            self.draw() % limit
        }
    }

    /// A duration from `low` to `high`, to the microsecond.
    pub fn between(&mut self, low: Duration, high: Duration) -> Duration {
        let span = high.saturating_sub(low).as_micros() as u64;
        low + Duration::from_micros(self.below(span + 1))
    }
}

/// Spreads the bits of a number; used wherever two nodes must come to the same pick.
pub fn mix(number: u64) -> u64 {
    let mut value = number;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A hash that is the same on every node and in every build.
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_of(text.as_bytes())
}

/// The same for bytes.
pub fn stable_hash_of(bytes: &[u8]) -> u64 {
    let mut value: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        value = (value ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(value)
}
