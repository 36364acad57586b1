//! Endpoints.
