//! Identifier types, the macro that declares all messages, and deterministic random numbers and hashes.

use std::time::Duration;

/// Declares messages with the derives that all of them need.
///
/// Members of a `struct` or `enum` are preceded by their wire number. The numbers are the compatibility
/// contract: a member may be added under a new number, but never renumbered. `number` and `text`
/// declare newtypes.
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
            /// Creates the identifier from its text.
            pub fn new(text: impl Into<String>) -> Self { Self(text.into()) }
            /// Returns its text.
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
    /// One incarnation of one node. A controller keeps its number on disk; all other nodes choose a
    /// random one at each start.
    number NodeId;
    /// The version of an item or of a map. Versions never decrease.
    number Version;
    /// A fencing token: the term of a leadership role or of a key range's owner. Lower ones are rejected.
    number Epoch;
    /// One incarnation of an instance, numbered by the instance itself; a later one has a higher number.
    number Incarnation;
    /// A zone: a failure domain that can lose power as a whole.
    text Zone;
    /// A region: zones with a short network distance to one another.
    text Region;
    /// The name of a service: a group of interchangeable instances.
    text ServiceName;
    /// The name of a route, and also of the service that it leads to.
    text RouteName;
    /// The identifier that an instance reports for itself.
    text InstanceId;
    /// The operator's identifier of a change set; a repeated request gets the first response.
    text ChangeId;
}

impl Version {
    /// Returns the version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl Epoch {
    /// Returns the epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// A small seeded pseudo-random number generator (SplitMix64), so that a run can be reproduced from its
/// seed.
#[derive(Debug, Clone)]
pub struct RandomSource {
    state: u64,
}

impl RandomSource {
    /// Creates a generator: equal seeds give equal sequences.
    pub fn seeded(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next random number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Returns a random number below `limit`; zero when the limit is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 {
            0
        } else {
            self.next_u64() % limit
        }
    }

    /// Returns a random duration from `low` to `high`, in whole microseconds.
    pub fn between(&mut self, low: Duration, high: Duration) -> Duration {
        let range = high.saturating_sub(low).as_micros() as u64;
        low + Duration::from_micros(self.below(range + 1))
    }
}

/// Mixes the bits of a number, as the SplitMix64 finalizer does. Also used where nodes must
/// independently make the same choice.
pub fn mix(number: u64) -> u64 {
    let mut value = number;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a hash of a text that is the same on every node and in every build.
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_of(text.as_bytes())
}

/// Returns a hash of bytes that is the same on every node and in every build.
pub fn stable_hash_of(bytes: &[u8]) -> u64 {
    let mut value: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        value = (value ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(value)
}
