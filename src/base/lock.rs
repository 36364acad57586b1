//! Locking of mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread panicked while it held the lock.
///
/// Use it for state that is valid between any two statements of its critical sections.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
