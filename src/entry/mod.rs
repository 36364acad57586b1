//! The entry daemon: takes requests of callers and routes them to agents.
