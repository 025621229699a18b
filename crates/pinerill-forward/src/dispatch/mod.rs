//! Places at workers for callers' calls.
//!
//! A call gets a place at once if a worker has room. Otherwise it waits here
//! and not at a worker, whose queue knows no order but that of arrival; it is
//! sent away at once if it can't be served in time (`admission`). `line` keeps the
//! order of those that wait, `demand` what the other nodes of the zone lack, `zone`
//! does what follows from that. Whenever a place is given up, a peer tells of one,
//! or a moment has passed, the first of the line are placed.

pub mod admission;
pub mod claims;
pub mod demand;
pub mod line;
mod times;
mod zone;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::directory::WorkerId;
use pinerill_calls::table::Homes;
use pinerill_process::clock::timeout_at;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use self::admission::{admit, Admission, Applicant, Pace};
use self::claims::{nodes_before, Contender, SeenPlaces};
use self::demand::ZoneDemand;
use self::line::{Ticket, WaitingCall, WaitingLine};
use self::times::CallTimes;
use crate::call::Call;
use crate::fleet::{Chosen, Placement, Prompt, Wanted, WorkerKey};
use crate::node::{Node, Occupied};

/// Pause between two looks at the line while nothing is told: beliefs about
/// others fade with time.
const LOOK_PAUSE: Duration = Duration::from_millis(15);
/// Calls of the line that are looked at when the first finds no place: it may
/// be the one that must not go where there is room.
const LOOKED_AT: usize = 6;
/// Pause between two calls of this node that try a worker of another zone of
/// which nothing is known, milliseconds: many nodes do so at once.
const EXPLORING_PAUSE_MS: u64 = 1_000;
/// Shortest pause after places were handed out, so that what was told by
/// others is taken in together.
const GATHER_PAUSE: Duration = Duration::from_millis(1);

/// A place at a worker for a call.
pub struct Placed {
    /// The worker and what decided.
    pub chosen: Chosen,
    /// The place, given up when dropped.
    pub place: Occupied,
}

/// A call without a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unplaced {
    /// The service has no worker that may be asked.
    NoWorker,
    /// The time is up.
    OutOfTime,
    /// It can't be served in time.
    Rejected {
        /// When to come back.
        retry_after: Duration,
    },
}

struct Waiter {
    service: String,
    prompt: Prompt,
    except: Vec<WorkerId>,
    runs_once: bool,
    homes: Homes,
    grant: oneshot::Sender<Result<Placed, Unplaced>>,
}

impl Waiter {
    fn wanted(&self) -> Wanted<'_> {
        Wanted {
            service: &self.service,
            prompt: &self.prompt,
            except: &self.except,
            runs_once: self.runs_once,
            homes: &self.homes,
        }
    }
}

#[derive(Default)]
struct State {
    line: WaitingLine,
    waiters: HashMap<Ticket, Waiter>,
    pace: Pace,
}

/// Calls that wait for places.
#[derive(Default)]
pub struct Dispatcher {
    state: Mutex<State>,
    /// What the other nodes of the zone lack and can spare.
    zone: Mutex<ZoneDemand>,
    /// Places that are seen to be free.
    seen: Mutex<SeenPlaces>,
    /// When a call last went to another zone without knowing the load there, on
    /// the node's clock.
    explored_ms: AtomicU64,
    /// How long calls take once they have places.
    pub(crate) times: CallTimes,
    /// There may be room now.
    pub(crate) changed: Notify,
}

/// Takes a call off the line when its caller goes.
struct InLine<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.lock();
        state.line.leave(self.ticket);
        state.waiters.remove(&self.ticket);
    }
}

impl Dispatcher {
    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.state.lock().line.len()
    }

    /// A place for a call; it waits for one unless it can't be served in time.
    /// Only a call that was not sent anywhere yet (`fresh`) is sent away.
    ///
    /// # Errors
    /// [`Unplaced`].
    pub async fn place(
        &self,
        node: &Arc<Node>,
        call: &Call,
        except: &[WorkerId],
        fresh: bool,
    ) -> Result<Placed, Unplaced> {
        node.slow_starts.call_came();
        if self.waiting() == 0 {
            let wanted = Wanted {
                service: &call.service,
                prompt: &call.prompt,
                except,
                runs_once: runs_once(call),
                homes: &call.homes,
            };
            match self.look(node, 1, &wanted) {
                Placement::Room(chosen) => return Ok(occupied(node, chosen, &call.prompt)),
                Placement::NoWorker => return Err(Unplaced::NoWorker),
                Placement::Full => {}
            }
        }
        let waiting = self.waiting_call(node, call);
        if fresh {
            self.admit(node, call, &waiting)?;
        }
        let (ticket, granted) = self.join(call, except, waiting);
        node.peers.changed();
        let _in_line = InLine {
            dispatcher: self,
            ticket,
        };
        self.changed.notify_one();
        let latest = match fresh {
            true => self.times.latest_place(call),
            false => call.deadline,
        };
        let granted = timeout_at(latest, granted).await;
        match granted {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) if fresh => Err(self.waited_in_vain(node, call)),
            Ok(Err(_)) | Err(_) => Err(Unplaced::OutOfTime),
        }
    }

    /// A call that got no place in time comes back once the line is shorter.
    fn waited_in_vain(&self, node: &Node, call: &Call) -> Unplaced {
        let interval_ms = self.state.lock().pace.interval_ms(node.now_ms());
        let expected_ms = interval_ms.unwrap_or(0.0) * (self.waiting() + 1) as f64;
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        let retry_after = admission::retry_after(expected, rand::random());
        log::info!(
            event = "call_waited_in_vain", id = call.head.id.as_str(), line = self.waiting(),
            interval_ms:? = interval_ms, retry_after_ms = retry_after.as_millis() as u64; ""
        );
        Unplaced::Rejected { retry_after }
    }

    /// Where a call may go. Once in a while one that finds no room in its zone
    /// tries a worker elsewhere of which nothing is known.
    fn look(&self, node: &Node, waiting: usize, wanted: &Wanted<'_>) -> Placement {
        let service = wanted.service;
        let now_ms = node.now_ms();
        let explored_ms = self.explored_ms.load(Ordering::Relaxed);
        let explores = now_ms.saturating_sub(explored_ms) >= EXPLORING_PAUSE_MS;
        let others = self.zone.lock().contenders(now_ms, service);
        let own = Contender {
            node: node.settings.peer_listen,
            waiting: waiting.max(1) as u32,
        };
        let mut seen = self.seen.lock();
        let may_take = |worker, free| {
            let before = nodes_before(own, &others, worker);
            seen.may_take(now_ms, worker, free, before)
        };
        let found = node.with_fleet(|fleet, _| fleet.place(now_ms, wanted, explores, may_take));
        if let Placement::Room(chosen) = &found {
            seen.taken(WorkerKey::of(&chosen.entry.id));
            if explores && !chosen.basis.near {
                self.explored_ms.store(now_ms, Ordering::Relaxed);
            }
        }
        found
    }

    fn waiting_call(&self, node: &Node, call: &Call) -> WaitingCall {
        let held_ms = call.arrived.elapsed().as_millis() as u64;
        let arrived_ms = node.now_ms().saturating_sub(held_ms);
        let begin_ms = self.times.first_event_ms(&call.route.name);
        let bearable_ms = (call.route.objective_ms as f64 - begin_ms).max(0.0);
        WaitingCall {
            rank: call.rank,
            in_time_until_ms: arrived_ms + bearable_ms as u64,
        }
    }

    fn admit(&self, node: &Node, call: &Call, waiting: &WaitingCall) -> Result<(), Unplaced> {
        let now_ms = node.now_ms();
        let (ahead, interval_ms) = {
            let state = self.state.lock();
            let ahead = state.line.ahead_of(now_ms, waiting);
            (ahead, state.pace.interval_ms(now_ms))
        };
        let applicant = Applicant {
            ahead,
            interval_ms,
            patience: self.times.latest_place(call).remaining(),
        };
        match admit(&applicant, rand::random()) {
            Admission::Wait => Ok(()),
            Admission::SendAway {
                expected,
                retry_after,
            } => {
                log::info!(
                    event = "call_sent_away", id = call.head.id.as_str(), ahead,
                    expected_wait_ms = expected.as_millis() as u64,
                    objective_ms = call.route.objective_ms,
                    retry_after_ms = retry_after.as_millis() as u64; ""
                );
                Err(Unplaced::Rejected { retry_after })
            }
        }
    }

    fn join(
        &self,
        call: &Call,
        except: &[WorkerId],
        waiting: WaitingCall,
    ) -> (Ticket, oneshot::Receiver<Result<Placed, Unplaced>>) {
        let (grant, granted) = oneshot::channel();
        let waiter = Waiter {
            service: call.service.clone(),
            prompt: call.prompt.clone(),
            except: except.to_vec(),
            runs_once: runs_once(call),
            homes: call.homes.clone(),
            grant,
        };
        let mut state = self.state.lock();
        let ticket = state.line.join(waiting);
        state.waiters.insert(ticket, waiter);
        (ticket, granted)
    }

    /// Takes the next call off the line that has a place now.
    fn next_placed(&self, node: &Node) -> Option<(Waiter, Option<Chosen>)> {
        let now_ms = node.now_ms();
        let mut state = self.state.lock();
        for ticket in state.line.first(now_ms, LOOKED_AT) {
            let Some(waiter) = state.waiters.get(&ticket) else {
                state.line.leave(ticket);
                continue;
            };
            let found = self.look(node, state.line.len(), &waiter.wanted());
            let chosen = match found {
                Placement::Full => continue,
                Placement::Room(chosen) => Some(chosen),
                Placement::NoWorker => None,
            };
            state.line.leave(ticket);
            if chosen.is_some() {
                state.pace.started(now_ms);
            }
            let waiter = state.waiters.remove(&ticket)?;
            return Some((waiter, chosen));
        }
        None
    }

    /// Lets items give way to the calls that wait.
    fn ask_items(&self, node: &Node) {
        let now_ms = node.now_ms();
        for (service, calls) in self.waiting_by_service() {
            node.runs.give_way(now_ms, &service, calls);
        }
    }

    fn waiting_by_service(&self) -> HashMap<String, usize> {
        let state = self.state.lock();
        let mut waiting = HashMap::new();
        for waiter in state.waiters.values() {
            *waiting.entry(waiter.service.clone()).or_default() += 1;
        }
        waiting
    }

    fn place_waiting(&self, node: &Arc<Node>) {
        while let Some((waiter, chosen)) = self.next_placed(node) {
            let result = match chosen {
                Some(chosen) => Ok(occupied(node, chosen, &waiter.prompt)),
                None => Err(Unplaced::NoWorker),
            };
            // A caller that has just gone gives its place up again.
            let _ = waiter.grant.send(result);
        }
    }
}

/// Whether a call is lost if its worker fails.
fn runs_once(call: &Call) -> bool {
    !call.route.kind.may_repeat()
}

fn occupied(node: &Arc<Node>, chosen: Chosen, prompt: &Prompt) -> Placed {
    Placed {
        place: node.occupy(&chosen, prompt),
        chosen,
    }
}

/// Places waiting calls whenever there may be room.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let dispatcher = &node.dispatcher;
        if dispatcher.waiting() == 0 && !dispatcher.peers_have_waiting_calls(node.now_ms()) {
            dispatcher.changed.notified().await;
        } else {
            // Either there is news or it is time to look again.
            let _ = timeout(LOOK_PAUSE, dispatcher.changed.notified()).await;
        }
        dispatcher.place_waiting(&node);
        dispatcher.ask_items(&node);
        dispatcher.help_others(&node);
        dispatcher.seen.lock().forget_old(node.now_ms());
        sleep(GATHER_PAUSE).await;
    }
}
