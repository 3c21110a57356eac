//! Digests of states, by which the search recognises the states that it has visited.

use std::fmt;
use std::fmt::Write as FormatWrite;
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

/// A 128-bit hash of the encoded or `Debug` form of a value.
pub type Digest = u128;

/// A writer that hashes its input.
#[derive(Default)]
pub struct DigestWriter {
    hasher: Xxh3,
}

impl FormatWrite for DigestWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.hasher.update(text.as_bytes());
        Ok(())
    }
}

impl DigestWriter {
    /// Adds a value in its `Debug` form, which contains every field.
    pub fn add(&mut self, value: &impl fmt::Debug) {
        // `write_str` above never fails.
        write!(self, "{value:?};").expect("writing to a digest cannot fail");
    }

    /// Adds a value in its encoded form.
    pub fn add_encoded(&mut self, value: &impl minicbor::Encode<()>) {
        let bytes = minicbor::to_vec(value).expect("values encode");
        self.hasher.update(&(bytes.len() as u64).to_le_bytes());
        self.hasher.update(&bytes);
    }

    /// Adds a digest.
    pub fn add_digest(&mut self, digest: Digest) {
        self.hasher.update(&digest.to_le_bytes());
    }

    /// Returns the digest of everything that was added.
    pub fn finish(&self) -> Digest {
        self.hasher.digest128()
    }
}

/// A copy-on-write value that is shared between states, with its cached digest.
#[derive(Debug, Clone)]
pub struct Shared<T> {
    value: Arc<T>,
    digest: Option<Digest>,
}

impl<T: Clone> Shared<T> {
    pub fn new(value: T) -> Self {
        Self {
            value: Arc::new(value),
            digest: None,
        }
    }

    pub fn get(&self) -> &T {
        &self.value
    }

    /// Returns the value for modification, copying it if it is shared.
    pub fn change(&mut self) -> &mut T {
        self.digest = None;
        Arc::make_mut(&mut self.value)
    }

    /// Returns the cached digest, or computes it with `compute`.
    pub fn digest(&mut self, compute: impl FnOnce(&mut T) -> Digest) -> Digest {
        // `compute` gets mutable access, because a value that contains shared values caches their
        // digests too.
        let value = &mut self.value;
        *self
            .digest
            .get_or_insert_with(|| compute(Arc::make_mut(value)))
    }
}
