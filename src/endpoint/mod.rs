//! Endpoints behind a small trait, and their HTTP adapters.
