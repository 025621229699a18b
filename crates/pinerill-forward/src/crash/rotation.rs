//! Selection of the reports that are sent again next. Pure.

/// Rotates through a list that changes between calls, so that each entry has its turn.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    /// Index at which the next selection begins.
    next: usize,
}

impl Rotation {
    /// Returns up to `limit` of the entries, beginning where the last selection ended. `all` must be
    /// in the same order each time.
    pub(super) fn take<T>(&mut self, mut all: Vec<T>, limit: usize) -> Vec<T> {
        if all.is_empty() {
            return all;
        }
        let begin = self.next % all.len();
        self.next = begin + limit;
        all.rotate_left(begin);
        all.truncate(limit);
        all
    }
}
