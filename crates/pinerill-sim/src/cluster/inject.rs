//! Bringing faults about.

use pinerill_control::host::driver::DriverInput;
use pinerill_replica::ReplicaId;

use super::core::Cluster;
use super::event::Event;
use super::fault::{Direction, Fault, Target};
use super::network::{Endpoint, LinkQuality};
use super::service::{ClientId, GroupService};
use crate::defect::keeps_identity;

/// Time that a planned stop has for handing over its leadership.
const HAND_OVER_MS: u64 = 300;
/// Clients that a cut with clients reaches at most.
const MAX_CLIENTS: u32 = 64;

impl<S: GroupService> Cluster<S> {
    /// Brings a fault about that concerns machines or links.
    pub(super) fn inject(&mut self, fault: Fault) {
        let done = match fault {
            Fault::Crash { target, down_ms } => self.crash(target, down_ms),
            Fault::LoseDisk { target, down_ms } => self.lose_disk(target, down_ms),
            Fault::PlannedRestart { target } => self.planned_restart(target),
            Fault::Freeze {
                target,
                duration_ms,
            } => self.freeze(target, duration_ms),
            Fault::Cut {
                target,
                direction,
                clients,
                duration_ms,
            } => self.cut(target, direction, clients, duration_ms),
            Fault::Split {
                smaller,
                duration_ms,
            } => self.split(smaller, duration_ms),
            Fault::BadLinks { duration_ms } => {
                self.network.quality = LinkQuality::BAD;
                let end_ms = self.now_ms + duration_ms;
                self.queue.add(end_ms, Event::RestoreQuality);
                Some(())
            }
            Fault::Client(_) => Some(()),
        };
        if done.is_some() {
            *self.faults.entry(fault.kind()).or_default() += 1;
            self.note(|| format!("fault: {fault:?}"));
        }
    }

    /// A running machine that fits.
    fn choose(&mut self, target: Target) -> Option<usize> {
        let leader = self.leader();
        let running: Vec<usize> = (0..self.machines.len())
            .filter(|place| self.machines[*place].process.is_some())
            .collect();
        let others: Vec<usize> = running
            .iter()
            .copied()
            .filter(|place| Some(*place) != leader)
            .collect();
        match target {
            Target::Leader => leader.or_else(|| self.rng.pick(&running).copied()),
            Target::Follower => self.rng.pick(&others).copied(),
            Target::Any => self.rng.pick(&running).copied(),
            Target::Place(place) => running.contains(&place).then_some(place),
        }
    }

    fn kill(&mut self, place: usize) {
        let machine = &mut self.machines[place];
        machine.process = None;
        // What was being written when the process died may have come through.
        let through = self.rng.below(machine.store.pending() + 1);
        machine.store.sync_first(through);
        machine.store.crash();
    }

    fn restart_after(&mut self, place: usize, down_ms: u64) {
        let at_ms = self.now_ms + down_ms;
        self.queue.add(at_ms, Event::Restart { machine: place });
    }

    fn crash(&mut self, target: Target, down_ms: u64) -> Option<()> {
        let place = self.choose(target)?;
        self.note(|| format!("machine {place} crashes"));
        self.kill(place);
        self.restart_after(place, down_ms);
        Some(())
    }

    /// Refused while as many disks are lost and not replaced as a majority
    /// of the others can bear.
    fn lose_disk(&mut self, target: Target, down_ms: u64) -> Option<()> {
        let bearable = (self.settings.machines - 1) / 2;
        let unreplaced = self.lost.iter().filter(|(lost, new)| lost != new).count();
        if unreplaced >= bearable {
            return None;
        }
        let place = self.choose(target)?;
        let lost = self.machines[place].replica;
        // A newcomer that is not in place yet is no member to be replaced.
        if self.lost.iter().any(|(_, new)| *new == lost) {
            return None;
        }
        self.note(|| format!("machine {place} loses its disk"));
        self.kill(place);
        let new = if keeps_identity(self.defect) {
            lost
        } else {
            self.new_replica()
        };
        let machine = &mut self.machines[place];
        machine.store.lose_disk(new);
        machine.replica = new;
        if new != lost {
            self.lost.push((lost, new));
        }
        self.restart_after(place, down_ms);
        Some(())
    }

    fn planned_restart(&mut self, target: Target) -> Option<()> {
        let place = self.choose(target)?;
        let process = self.machines[place].process.as_mut()?;
        process.inbox.push(DriverInput::Drain);
        let stop = Fault::Crash {
            target: Target::Place(place),
            down_ms: HAND_OVER_MS,
        };
        let at_ms = self.now_ms + HAND_OVER_MS;
        self.queue.add(at_ms, Event::Inject(stop));
        Some(())
    }

    fn freeze(&mut self, target: Target, duration_ms: u64) -> Option<()> {
        let place = self.choose(target)?;
        self.note(|| format!("machine {place} freezes for {duration_ms}"));
        self.machines[place].frozen_until_ms = self.now_ms + duration_ms;
        Some(())
    }

    fn cut(
        &mut self,
        target: Target,
        direction: Direction,
        clients: bool,
        duration_ms: u64,
    ) -> Option<()> {
        let place = self.choose(target)?;
        self.note(|| format!("machine {place} is cut off, {direction:?}, clients {clients}"));
        let mut others: Vec<Endpoint> = (0..self.machines.len())
            .filter(|other| *other != place)
            .map(Endpoint::Machine)
            .collect();
        if clients {
            others.extend((0..MAX_CLIENTS).map(|number| Endpoint::Client(ClientId(number))));
            others.push(Endpoint::Client(ClientId::REPAIR));
        }
        self.cut_links(Endpoint::Machine(place), others, direction, duration_ms);
        Some(())
    }

    /// Cuts a client's links to all machines.
    pub fn cut_client(&mut self, client: ClientId, direction: Direction, duration_ms: u64) {
        let machines = (0..self.machines.len()).map(Endpoint::Machine).collect();
        self.cut_links(Endpoint::Client(client), machines, direction, duration_ms);
    }

    /// Lets a client's process do nothing for a while.
    pub fn freeze_client(&mut self, client: ClientId, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        self.frozen_clients.insert(client, until_ms);
    }

    fn cut_links(
        &mut self,
        one: Endpoint,
        others: Vec<Endpoint>,
        direction: Direction,
        duration_ms: u64,
    ) {
        let mut pairs = Vec::new();
        for other in others {
            if direction != Direction::Inbound {
                pairs.push((one, other));
            }
            if direction != Direction::Outbound {
                pairs.push((other, one));
            }
        }
        let cut = self.network.cut(pairs);
        self.queue.add(self.now_ms + duration_ms, Event::Heal(cut));
    }

    fn split(&mut self, smaller: usize, duration_ms: u64) -> Option<()> {
        let mut places: Vec<usize> = (0..self.machines.len()).collect();
        let mut side = Vec::new();
        while side.len() < smaller && !places.is_empty() {
            let index = self.rng.below(places.len());
            side.push(places.swap_remove(index));
        }
        let mut pairs = Vec::new();
        for one in side {
            for other in &places {
                pairs.push((Endpoint::Machine(one), Endpoint::Machine(*other)));
                pairs.push((Endpoint::Machine(*other), Endpoint::Machine(one)));
            }
        }
        let cut = self.network.cut(pairs);
        self.queue.add(self.now_ms + duration_ms, Event::Heal(cut));
        Some(())
    }

    pub(super) fn restart(&mut self, place: usize) {
        if self.machines[place].process.is_none() {
            self.start_process(place, &[]);
        }
    }

    /// Ends every fault, so that the cluster can come to rest.
    pub(super) fn heal_everything(&mut self) {
        self.network.heal_all();
        self.network.quality = self.settings.quality;
        self.frozen_clients.clear();
        for machine in &mut self.machines {
            machine.frozen_until_ms = 0;
        }
        for place in 0..self.machines.len() {
            self.restart(place);
            self.schedule_round(place, self.now_ms);
        }
    }

    /// A lost identity has been replaced.
    pub(super) fn repaired(&mut self, lost: ReplicaId) {
        self.lost.retain(|(one, _)| *one != lost);
    }
}
