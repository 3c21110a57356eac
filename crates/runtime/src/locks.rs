//! Locks whose data stays consistent when a holder panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose holders never leave its data in an inconsistent state.
///
/// A poisoned mutex is therefore usable: a broken invariant stops the process in another way.
pub fn locked<Inner>(mutex: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
