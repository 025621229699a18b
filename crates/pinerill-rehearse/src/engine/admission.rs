//! Admission of the engine model: slots, memory and preemption.

use super::messages::{EngineEvent, Priority, RequestId, RequestState};
use super::model::EngineModel;
use super::prefix_cache::EvictedBlock;
use super::sequence::Sequence;

impl EngineModel {
    pub(super) fn admit(&mut self) {
        while let Some(id) = self.online_queue.front().cloned() {
            if self.place(&id) {
                self.online_queue.pop_front();
            } else if !self.make_room() {
                return;
            }
        }
        while let Some(id) = self.batch_queue.front().cloned() {
            if !self.place(&id) {
                return;
            }
            self.batch_queue.pop_front();
        }
    }

    /// Gives a request a slot and memory; false when either is missing.
    fn place(&mut self, id: &RequestId) -> bool {
        if self.running.len() >= self.parameters.slots as usize {
            return false;
        }
        if !self.sequences[id].holds_kv && !self.reserve_memory(id) {
            return false;
        }
        let Some(sequence) = self.sequences.get_mut(id) else {
            return false;
        };
        let event = match sequence.started {
            true => EngineEvent::Resumed {
                request_id: id.clone(),
            },
            false => EngineEvent::Started {
                request_id: id.clone(),
                cached_tokens: sequence.cached_tokens,
            },
        };
        sequence.started = true;
        sequence.state = RequestState::Running;
        self.running.push(id.clone());
        self.events.push(event);
        true
    }

    /// Reserves memory for the whole prompt and answer of a request.
    fn reserve_memory(&mut self, id: &RequestId) -> bool {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return false;
        };
        let cached = self.cache.cached_prefix(&sequence.submission.blocks);
        let all_blocks = self.parameters.blocks_of(sequence.full_tokens());
        let needed = all_blocks.saturating_sub(cached as u32);
        self.cache.acquire(&sequence.submission.blocks[..cached]);
        let Some(evicted) = self.cache.allocate(needed) else {
            self.cache.release(&sequence.submission.blocks[..cached]);
            return false;
        };
        sequence.shared_blocks = cached;
        sequence.private_blocks = needed;
        sequence.holds_kv = true;
        let cached_tokens = cached as u32 * self.parameters.block_tokens;
        let ready_tokens = cached_tokens.max(sequence.submission.imported_tokens);
        sequence.prefilled = ready_tokens.min(sequence.prefill_target.saturating_sub(1));
        if sequence.started {
            sequence.recomputed_tokens += sequence.prefill_target - sequence.prefilled;
        } else {
            sequence.cached_tokens = cached_tokens.min(sequence.prefilled);
        }
        self.record_evictions(evicted);
        true
    }

    fn record_evictions(&mut self, evicted: Vec<EvictedBlock>) {
        for EvictedBlock { block, tokens } in evicted {
            self.events.push(EngineEvent::Evicted { block, tokens });
        }
    }

    /// Makes room for an online request: frees the memory of a batch request
    /// that does not run, or preempts the one that was admitted last.
    fn make_room(&mut self) -> bool {
        let slots_full = self.running.len() >= self.parameters.slots as usize;
        if !slots_full && self.drop_idle_kv() {
            return true;
        }
        let youngest = self
            .running
            .iter()
            .rev()
            .find(|id| self.sequences[*id].submission.priority == Priority::Batch)
            .cloned();
        let Some(id) = youngest else {
            return false;
        };
        self.preempt(&id, slots_full);
        true
    }

    fn preempt(&mut self, id: &RequestId, memory_suffices: bool) {
        let keeps_kv = memory_suffices && !self.parameters.preemption_drops_kv;
        self.running.retain(|running| running != id);
        if let Some(sequence) = self.sequences.get_mut(id) {
            sequence.state = RequestState::Preempted;
        }
        if !keeps_kv {
            self.drop_kv(id);
        }
        self.batch_queue.push_front(id.clone());
        self.preemptions += 1;
        self.events.push(EngineEvent::Preempted {
            request_id: id.clone(),
            keeps_kv,
        });
    }

    /// Drops the KV cache of one paused or preempted batch request.
    fn drop_idle_kv(&mut self) -> bool {
        let holder = self
            .sequences
            .iter()
            .filter(|(_, sequence)| sequence.submission.priority == Priority::Batch)
            .filter(|(_, sequence)| sequence.holds_kv && sequence.state != RequestState::Running)
            .map(|(id, _)| id.clone())
            .min();
        match holder {
            Some(id) => {
                self.drop_kv(&id);
                true
            }
            None => false,
        }
    }

    fn drop_kv(&mut self, id: &RequestId) {
        if let Some(sequence) = self.sequences.get_mut(id) {
            self.cache.release(sequence.shared_names());
            self.cache.free_private(sequence.private_blocks);
            sequence.lose_kv();
        }
    }

    pub(super) fn free_memory(&mut self, sequence: &Sequence) {
        self.cache.release(sequence.shared_names());
        self.cache.free_private(sequence.private_blocks);
    }
}
