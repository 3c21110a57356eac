//! Random seeds for state machines.

use std::hash::{BuildHasher, Hasher};

/// Returns a random seed, which differs between processes.
pub fn random_seed() -> u64 {
    let state = std::collections::hash_map::RandomState::new();
    let mut hasher = state.build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
