//! What applies the records of a topic.

use std::future::Future;

use crate::{
    base::{Era, Millis},
    gateway::{log_view::LogView, record::Record, steadiness::ResponseTime, write_time::WriteAge},
};

/// Applies the records of a compacted topic.
pub trait Follower {
    /// Called before each record of the log, and before all records of a list, with what is known of their age; `None` if
    /// that is nothing, because this process had not followed the topic before.
    fn note_age(&self, _age: Option<WriteAge>) {}

    /// Returns the longest time from when another process last passed on the topic's content to when
    /// [`Follower::should_read`] becomes true; `None` if none did.
    fn handover_time(&self) -> Option<Millis> {
        None
    }

    /// Returns the newest known end of the topic's log if another process reported one. Versions before that position
    /// came with the report or before it.
    fn reported_end(&self) -> Option<LogView> {
        None
    }

    /// Applies one record, of the log or of a list.
    fn apply(&self, record: Record);

    /// Called before the first record of a list, which holds the newest record of each key. The records of the log that are
    /// written meanwhile are applied between those of the list.
    fn list_begun(&self) {}

    /// Called when a part of a list is applied.
    fn list_continued(&self) {}

    /// Called after the last record of a list; keys that were not applied since [`Follower::list_begun`] were removed.
    fn list_ended(&self) {}

    /// Called when a list ends early; it says nothing of the keys that were not applied.
    fn list_dropped(&self) {}

    /// Called when a read succeeds after an outage of the store, before its records are applied.
    fn store_recovered(&self);

    /// Called when all records of a read of the log, or of a list, are applied; `next` is the offset of the next record, and `age` the time since
    /// the moment at which the log ended there, `None` if it holds further records.
    fn batch_applied(&self, _next: u64, _age: Option<Millis>) {}

    /// Returns the offset before which all records are applied, if another process passed on the content of the topic up
    /// to there.
    fn applied_until(&self) -> Option<u64> {
        None
    }

    /// Called when the log turns out to have begun anew, so that offsets of before tell nothing.
    fn log_restarted(&self) {}

    /// Called with the era of each response of the store, before the response is examined.
    fn note_era(&self, _era: Era) {}

    /// Returns the newest era of the store that this process knows by other reads, or from other processes.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Called for each response that is ignored because it is of an older era of the store.
    fn response_ignored(&self) {}

    /// Called after each successful read of the log before its records are applied, and at the end of a list.
    fn read_succeeded(&self) {}

    /// Returns whether to read the topic; while this is false, another process passes on its content.
    fn should_read(&self) -> bool {
        true
    }

    /// Returns the pause after a read; topics that change continually are read at intervals instead of by long poll.
    fn pause(&self) -> Millis {
        Millis::ZERO
    }

    /// Returns whether the store responds as soon as usual. While it does not, the topic is read at short intervals, because
    /// a long poll may not end with the next record.
    fn is_steady(&self) -> bool {
        true
    }

    /// Returns whether other processes read the topic, too, so that records end the waits of several readers at once.
    fn has_other_readers(&self) -> bool {
        false
    }

    /// Called at intervals while a read has no response, and when it ends.
    fn note_response(&self, _response: ResponseTime) {}

    /// Completes when a waiting read must be abandoned and issued again, because there may be records that would not end
    /// its wait, for example after the read of another topic found the store to be back.
    fn read_interrupted(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}
