//! HTTP server for callers: accepts connections, and authorizes and dispatches requests.
//!
//! | module | purpose |
//! |---|---|
//! | `listener` | accepts connections and drains them when the node stops |
//! | `request` | one request: route, key, admission and body, then the handler for it |
//! | `jobs` | submits jobs, returns results and item bodies, and ends jobs |

mod jobs;
mod listener;
mod request;

pub(crate) use listener::serve;
