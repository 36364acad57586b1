//! The agent daemon: the only path to the endpoint on its host.
