//! Exported and imported KV caches of one engine, kept for a short while.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a handle is kept.
const HANDLE_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Handle {
    content: String,
    tokens: u32,
    expires_at: Instant,
}

/// Handles by name.
#[derive(Debug, Default)]
pub struct KvHandles {
    handles: HashMap<String, Handle>,
}

impl KvHandles {
    /// Keeps a handle and forgets those that expired.
    pub fn insert(&mut self, name: String, content: String, tokens: u32) {
        let now = Instant::now();
        self.handles.retain(|_, handle| handle.expires_at > now);
        let handle = Handle {
            content,
            tokens,
            expires_at: now + HANDLE_LIFETIME,
        };
        self.handles.insert(name, handle);
    }

    /// Content name and tokens of a handle that has not expired.
    pub fn get(&self, name: &str) -> Option<(String, u32)> {
        let handle = self.handles.get(name)?;
        let live = handle.expires_at > Instant::now();
        live.then(|| (handle.content.clone(), handle.tokens))
    }
}
