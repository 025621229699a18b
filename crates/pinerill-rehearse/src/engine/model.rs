//! Continuous batching as a stepped model: the caller brings the time, and
//! `step` ends the running step, admits and preempts, and plans the next one.

use std::collections::{HashMap, VecDeque};

use super::messages::{
    CancelState, EngineEvent, EngineLoad, EngineUsage, Micros, Priority, Refusal, RequestId,
    RequestState, Submission,
};
use super::parameters::EngineParameters;
use super::prefix_cache::PrefixCache;
use super::sequence::Sequence;

/// How far a late caller may start the next step in the past, in microseconds:
/// a late timer then costs no throughput, a long stall does.
const MAX_CATCH_UP: Micros = 5_000;

/// The step that runs.
#[derive(Debug)]
pub(super) struct Step {
    ends_at: Micros,
    time: Micros,
    prefills: Vec<(RequestId, u32)>,
    decodes: Vec<RequestId>,
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    pub(super) parameters: EngineParameters,
    pub(super) cache: PrefixCache,
    pub(super) sequences: HashMap<RequestId, Sequence>,
    pub(super) ended: HashMap<RequestId, CancelState>,
    pub(super) remembered_cancels: HashMap<RequestId, Micros>,
    pub(super) online_queue: VecDeque<RequestId>,
    pub(super) batch_queue: VecDeque<RequestId>,
    pub(super) running: Vec<RequestId>,
    pub(super) step: Option<Step>,
    pub(super) preemptions: u64,
    pub(super) usage: EngineUsage,
    pub(super) events: Vec<EngineEvent>,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        let cache = PrefixCache::new(parameters.total_blocks());
        Self {
            parameters,
            cache,
            sequences: HashMap::new(),
            ended: HashMap::new(),
            remembered_cancels: HashMap::new(),
            online_queue: VecDeque::new(),
            batch_queue: VecDeque::new(),
            running: Vec::new(),
            step: None,
            preemptions: 0,
            usage: EngineUsage::default(),
            events: Vec::new(),
        }
    }

    /// Takes a request in, or says why not. It starts at the next `step`.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> Result<(), Refusal> {
        let id = submission.request_id.clone();
        if self.sequences.contains_key(&id) || self.ended.contains_key(&id) {
            return Err(Refusal::DuplicateRequest);
        }
        if self.take_remembered_cancel(now, &id) {
            self.ended.insert(id, CancelState::NotStarted);
            return Err(Refusal::CancelledBeforeStart);
        }
        let sequence = Sequence::new(submission);
        if self.parameters.blocks_of(sequence.full_tokens()) > self.cache.total() {
            return Err(Refusal::TooLarge);
        }
        let priority = sequence.submission.priority;
        if self.waiting_in(priority) >= self.parameters.queue_limit as usize {
            return Err(Refusal::QueueFull);
        }
        self.queue(priority).push_back(id.clone());
        self.sequences.insert(id, sequence);
        Ok(())
    }

    /// Ends a request. The second value is the number of tokens generated.
    pub fn cancel(&mut self, now: Micros, id: &RequestId) -> (CancelState, u32) {
        if let Some(state) = self.ended.get(id) {
            return (*state, 0);
        }
        let Some(sequence) = self.sequences.remove(id) else {
            self.remember_cancel(now, id);
            return (CancelState::Unknown, 0);
        };
        self.leave_queues(id);
        self.free_memory(&sequence);
        let state = match sequence.started {
            true => CancelState::Cancelled,
            false => CancelState::NotStarted,
        };
        self.ended.insert(id.clone(), state);
        (state, sequence.generated)
    }

    /// Takes a batch or online request off its slot; its KV cache stays.
    /// Answers the state after the call.
    pub fn pause(&mut self, id: &RequestId) -> RequestState {
        if let Some(sequence) = self.sequences.get_mut(id) {
            sequence.state = RequestState::Paused;
            self.leave_queues(id);
        }
        self.state(id)
    }

    /// Lets a paused request run again, before others of its priority.
    /// Answers the state after the call.
    pub fn unpause(&mut self, id: &RequestId) -> RequestState {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return self.state(id);
        };
        if sequence.state == RequestState::Paused {
            sequence.state = match sequence.started {
                true => RequestState::Preempted,
                false => RequestState::Waiting,
            };
            let priority = sequence.submission.priority;
            self.queue(priority).push_front(id.clone());
        }
        self.state(id)
    }

    /// Lets every paused request run again.
    pub fn unpause_all(&mut self) {
        let paused: Vec<RequestId> = self
            .sequences
            .iter()
            .filter(|(_, sequence)| sequence.state == RequestState::Paused)
            .map(|(id, _)| id.clone())
            .collect();
        for id in paused {
            self.unpause(&id);
        }
    }

    /// State of a request.
    pub fn state(&self, id: &RequestId) -> RequestState {
        if let Some(sequence) = self.sequences.get(id) {
            return sequence.state;
        }
        match self.ended.get(id) {
            Some(CancelState::Finished) => RequestState::Finished,
            Some(_) => RequestState::Cancelled,
            None => RequestState::Unknown,
        }
    }

    /// Prompt and answer tokens whose KV cache a request holds; `None` when its
    /// prefill is not done or it is not known.
    pub fn exportable_tokens(&self, id: &RequestId) -> Option<u32> {
        let sequence = self.sequences.get(id)?;
        sequence.decodes().then_some(sequence.prefilled)
    }

    /// When the running step ends; `None` when there is nothing to do.
    pub fn next_step_at(&self) -> Option<Micros> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Whether no request is there that has not ended.
    pub fn is_idle(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Ends the running step if its time has come and plans the next one.
    /// Returns what happened since the last call.
    pub fn step(&mut self, now: Micros) -> Vec<EngineEvent> {
        if let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            let ended_at = step.ends_at;
            self.end_step(step);
            self.plan_step(ended_at.max(now.saturating_sub(MAX_CATCH_UP)));
        } else if self.step.is_none() {
            self.plan_step(now);
        }
        std::mem::take(&mut self.events)
    }

    /// Counts at this moment.
    pub fn load(&self) -> EngineLoad {
        let mut load = EngineLoad {
            running: self.running.len() as u32,
            kv_used: u64::from(self.cache.used()) * u64::from(self.parameters.block_tokens),
            kv_total: u64::from(self.parameters.kv_tokens),
            preemptions: self.preemptions,
            ..EngineLoad::default()
        };
        for sequence in self.sequences.values() {
            let batch = sequence.submission.priority == Priority::Batch;
            match sequence.state {
                RequestState::Running if batch => load.batch_running += 1,
                RequestState::Waiting => load.waiting += 1,
                RequestState::Paused | RequestState::Preempted if batch => load.batch_paused += 1,
                _ => {}
            }
        }
        load
    }

    /// Work done since the start.
    pub fn usage(&self) -> EngineUsage {
        self.usage
    }

    fn end_step(&mut self, step: Step) {
        self.usage.busy_us += step.time;
        for (id, tokens) in step.prefills {
            let Some(sequence) = self.running_sequence(&id) else {
                continue;
            };
            sequence.prefilled += tokens;
            let decodes = sequence.decodes();
            let priority = sequence.submission.priority;
            self.usage.work(priority).prefill_tokens += u64::from(tokens);
            if decodes {
                self.share_prompt_blocks(&id);
                self.generate_token(&id);
            }
        }
        for id in step.decodes {
            if self.running_sequence(&id).is_some() {
                self.generate_token(&id);
            }
        }
    }

    fn running_sequence(&mut self, id: &RequestId) -> Option<&mut Sequence> {
        self.sequences
            .get_mut(id)
            .filter(|sequence| sequence.state == RequestState::Running)
    }

    fn generate_token(&mut self, id: &RequestId) {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return;
        };
        if !sequence.is_whole() {
            sequence.generated += 1;
            sequence.prefilled += 1;
            sequence.prefill_target = sequence.prefilled;
            let token = EngineEvent::Token {
                request_id: id.clone(),
                generated: sequence.generated,
            };
            self.events.push(token);
            let priority = sequence.submission.priority;
            self.usage.work(priority).generated_tokens += 1;
        }
        if sequence.is_whole() {
            self.finish(id);
        }
    }

    fn finish(&mut self, id: &RequestId) {
        let Some(sequence) = self.sequences.remove(id) else {
            return;
        };
        self.leave_queues(id);
        self.free_memory(&sequence);
        self.ended.insert(id.clone(), CancelState::Finished);
        self.events.push(EngineEvent::Finished {
            request_id: id.clone(),
            recomputed_tokens: sequence.recomputed_tokens,
        });
    }

    fn plan_step(&mut self, now: Micros) {
        self.admit();
        let decodes = self.decoding();
        let prefills = self.plan_prefills();
        if decodes.is_empty() && prefills.is_empty() {
            return;
        }
        let prefill_tokens = prefills.iter().map(|(_, tokens)| tokens).sum();
        let time = self.parameters.step_time(decodes.len(), prefill_tokens);
        self.step = Some(Step {
            ends_at: now + time,
            time,
            prefills,
            decodes,
        });
    }

    fn decoding(&self) -> Vec<RequestId> {
        self.running
            .iter()
            .filter(|id| self.sequences[*id].decodes())
            .cloned()
            .collect()
    }

    /// Shares the step's prefill tokens out: online first, in order of admission.
    fn plan_prefills(&self) -> Vec<(RequestId, u32)> {
        let mut budget = self.parameters.prefill_chunk_tokens;
        let mut prefills = Vec::new();
        self.plan_prefills_of(Priority::Online, &mut budget, &mut prefills);
        if self.runs_online() {
            budget = budget.min(self.parameters.shared_batch_chunk_tokens);
        }
        self.plan_prefills_of(Priority::Batch, &mut budget, &mut prefills);
        prefills
    }

    fn plan_prefills_of(
        &self,
        priority: Priority,
        budget: &mut u32,
        prefills: &mut Vec<(RequestId, u32)>,
    ) {
        for id in &self.running {
            let sequence = &self.sequences[id];
            if sequence.submission.priority != priority || sequence.decodes() {
                continue;
            }
            let tokens = (sequence.prefill_target - sequence.prefilled).min(*budget);
            if tokens == 0 {
                return;
            }
            *budget -= tokens;
            prefills.push((id.clone(), tokens));
        }
    }

    fn runs_online(&self) -> bool {
        self.running
            .iter()
            .any(|id| self.sequences[id].submission.priority == Priority::Online)
    }

    /// Moves the prompt's whole blocks into the prefix cache.
    fn share_prompt_blocks(&mut self, id: &RequestId) {
        let Some(sequence) = self.sequences.get_mut(id) else {
            return;
        };
        let first = sequence.shared_blocks;
        for index in first..sequence.submission.blocks.len() {
            let block = sequence.submission.blocks[index];
            let tokens = (index as u32 + 1) * self.parameters.block_tokens;
            if self.cache.share(block, tokens) {
                self.events.push(EngineEvent::Stored { block, tokens });
            }
            sequence.private_blocks -= 1;
            sequence.shared_blocks += 1;
        }
    }

    fn queue(&mut self, priority: Priority) -> &mut VecDeque<RequestId> {
        match priority {
            Priority::Online => &mut self.online_queue,
            Priority::Batch => &mut self.batch_queue,
        }
    }

    fn waiting_in(&self, priority: Priority) -> usize {
        match priority {
            Priority::Online => self.online_queue.len(),
            Priority::Batch => self.batch_queue.len(),
        }
    }

    fn leave_queues(&mut self, id: &RequestId) {
        self.running.retain(|other| other != id);
        self.online_queue.retain(|other| other != id);
        self.batch_queue.retain(|other| other != id);
    }

    fn remember_cancel(&mut self, now: Micros, id: &RequestId) {
        let expires_at = now + self.parameters.remembered_cancel_ms * 1_000;
        self.remembered_cancels.retain(|_, expiry| *expiry > now);
        self.remembered_cancels.insert(id.clone(), expires_at);
    }

    fn take_remembered_cancel(&mut self, now: Micros, id: &RequestId) -> bool {
        self.remembered_cancels
            .remove(id)
            .is_some_and(|expires_at| expires_at > now)
    }
}
