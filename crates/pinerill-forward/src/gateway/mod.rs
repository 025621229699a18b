//! Callers' connections and requests, up to where a call runs.
//!
//! | module | job |
//! |---|---|
//! | `listener` | connections; closes them in a planned way at a stop |
//! | `request` | one request: head, route, admission, body, and what serves it |
//! | `jobs` | submissions, results, bodies and ends of jobs |

mod jobs;
mod listener;
mod request;

pub(crate) use listener::serve;
