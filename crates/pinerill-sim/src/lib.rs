//! Placeholder of the workspace scaffold.
