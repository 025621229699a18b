//! Which groups are asked for how many items. Pure.

use std::collections::BTreeMap;

use pinerill_types::ServiceName;
use pinerill_wire::message::LeaseWant;

use super::engines::EngineBoard;
use super::message::Backlog;

/// Most items of one service in one question.
const WANT_LIMIT: u32 = 64;
/// Of so many items that run, one more is leased ahead, so that a place that
/// comes free is filled without a question.
const AHEAD_DIVISOR: u32 = 8;
/// First pause before a group that had nothing is asked again, milliseconds.
const EMPTY_PAUSE_MS: u64 = 200;
/// Longest such pause, milliseconds.
const EMPTY_PAUSE_LIMIT_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy, Default)]
struct Quiet {
    until_ms: u64,
    pause_ms: u64,
}

/// Where items wait, as far as known.
#[derive(Debug, Default)]
pub struct GroupHints {
    backlog: Backlog,
    quiet: BTreeMap<(ServiceName, u32), Quiet>,
    cursor: usize,
}

/// Places that are free for each service with a backlog. The room of an engine
/// that serves several of them is shared equally.
pub fn free_places(
    board: &EngineBoard,
    backlog: &Backlog,
    now_ms: u64,
) -> BTreeMap<ServiceName, u32> {
    let mut places: BTreeMap<ServiceName, u32> = BTreeMap::new();
    for (number, (room, services)) in board.rooms(now_ms).enumerate() {
        let waiting: Vec<&ServiceName> = services
            .iter()
            .filter(|one| backlog.contains_key(*one))
            .collect();
        if waiting.is_empty() || room == 0 {
            continue;
        }
        let count = waiting.len() as u32;
        for (at, service) in waiting.into_iter().enumerate() {
            // The remainder goes to another service at each engine.
            let turn = (at + number) as u32 % count;
            let share = room / count + u32::from(turn < room % count);
            *places.entry(service.clone()).or_default() += share;
        }
    }
    for (service, running) in board.running_by_service() {
        if backlog.contains_key(&service) {
            *places.entry(service).or_default() += running.div_ceil(AHEAD_DIVISOR);
        }
    }
    places
}

impl GroupHints {
    /// Starts with a group of its own, so that nodes spread over the groups.
    pub fn new(cursor: usize) -> Self {
        Self {
            cursor,
            ..Self::default()
        }
    }

    /// A watch told where items wait.
    pub fn take_backlog(&mut self, backlog: Backlog) {
        self.backlog = backlog;
    }

    /// Where items wait.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Shares what is wanted out over the groups that have it and are free to
    /// be asked.
    pub fn questions(
        &mut self,
        now_ms: u64,
        wanted: BTreeMap<ServiceName, u32>,
        is_free: impl Fn(u32) -> bool,
    ) -> BTreeMap<u32, Vec<LeaseWant>> {
        let mut questions: BTreeMap<u32, Vec<LeaseWant>> = BTreeMap::new();
        for (service, mut left) in wanted {
            for (group, pending) in self.candidates(now_ms, &service) {
                if left == 0 {
                    break;
                }
                if !is_free(group) {
                    continue;
                }
                let limit = left
                    .min(WANT_LIMIT)
                    .min(u32::try_from(pending).unwrap_or(WANT_LIMIT));
                left -= limit;
                let service = service.clone();
                questions
                    .entry(group)
                    .or_default()
                    .push(LeaseWant { service, limit });
            }
        }
        if !questions.is_empty() {
            self.cursor = self.cursor.wrapping_add(1);
        }
        questions
    }

    /// Groups with items of a service, from the cursor on.
    fn candidates(&self, now_ms: u64, service: &ServiceName) -> Vec<(u32, u64)> {
        let Some(groups) = self.backlog.get(service) else {
            return Vec::new();
        };
        let mut candidates: Vec<(u32, u64)> = groups
            .iter()
            .map(|(group, pending)| (*group, *pending))
            .filter(|(group, pending)| {
                let quiet = self.quiet.get(&(service.clone(), *group));
                *pending > 0 && quiet.is_none_or(|quiet| quiet.until_ms <= now_ms)
            })
            .collect();
        if !candidates.is_empty() {
            let start = self.cursor % candidates.len();
            candidates.rotate_left(start);
        }
        candidates
    }

    /// A group gave `got` items of what it was asked for.
    pub fn answered(&mut self, now_ms: u64, group: u32, want: &LeaseWant, got: u32) {
        let key = (want.service.clone(), group);
        if got == 0 {
            let quiet = self.quiet.entry(key).or_default();
            quiet.pause_ms = (quiet.pause_ms * 2).clamp(EMPTY_PAUSE_MS, EMPTY_PAUSE_LIMIT_MS);
            quiet.until_ms = now_ms + quiet.pause_ms;
            return;
        }
        self.quiet.remove(&key);
        let groups = self.backlog.get_mut(&want.service);
        if let Some(pending) = groups.and_then(|groups| groups.get_mut(&group)) {
            // A hint may be too low; it stays above 0 until a question says so.
            *pending = pending.saturating_sub(u64::from(got)).max(1);
        }
    }
}
