//! Prints what one placement costs with 100 workers and 1,000 tenants, without shares and with
//! them, and how many bytes the reports of queues are.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use pinerill_calls::directory::{WorkerEntry, WorkerState};
use pinerill_calls::message::encode;
use pinerill_calls::table::AllowedRegions;
use pinerill_forward::dispatch::claims::Contender;
use pinerill_forward::dispatch::queue::{WaitingCall, WaitingQueue};
use pinerill_forward::dispatch::report::{
    QueuePosition, QueueReport, ServiceQueue, TenantKey, TenantUse,
};
use pinerill_forward::dispatch::shares::Shares;
use pinerill_forward::dispatch::tenant_use::{TenantUses, MAX_REPORTED_TENANTS};
use pinerill_forward::dispatch::zone_order::ZoneQueues;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, PlacementRequest, Prompt, ReportOrder, RequiredSoftware,
};

const TENANTS: u32 = 1_000;
const WORKERS: usize = 100;
const PEERS: u8 = 24;
const WAITING: u64 = 200;
const ROUNDS: u32 = 200;

/// Longest datagram in bytes.
const DATAGRAM_BYTES: usize = 1_400;
/// The variant of the message, and its place in the sequence of its sender.
const HEAD_BYTES: usize = 1 + 10 + 5;

fn node(number: u8) -> SocketAddr {
    ([127, 0, 1, number], 7_720).into()
}

fn service_queue(service: &str) -> ServiceQueue {
    ServiceQueue {
        service: service.to_owned(),
        within_share: 3,
        over_share: 300,
        head: Some(QueuePosition {
            rank: 1,
            over_share: false,
            slack_ms: 700,
        }),
        starts_per_s: 12.5,
    }
}

/// A report as large as they get: tenants with many slots each and keys of five bytes.
fn full_report(services: usize) -> QueueReport {
    let tenants = (0..MAX_REPORTED_TENANTS as u32).map(|number| TenantUse {
        tenant: TenantKey(u32::MAX - number),
        running: 200,
        waiting: 300,
    });
    let services =
        (0..services).map(|number| service_queue(&format!("a-service-of-usual-name-{number}")));
    QueueReport {
        services: services.collect(),
        tenants: tenants.collect(),
    }
}

#[test]
fn reports_of_queues_fit_into_a_datagram_and_cost_little() {
    let usual = HEAD_BYTES + encode(&full_report(2)).len();
    let longest = HEAD_BYTES + encode(&full_report(16)).len();
    let zone = HEAD_BYTES + 10 + encode(&full_report(0).tenants).len();
    // 20 reports a second from each of 25 nodes to the 24 others, and four a second from two relays
    // to one relay of each of four other zones, which forwards it to 24 nodes.
    let sent_per_node = usual * 20 * usize::from(PEERS);
    println!(
        "a report of two services: {usual} bytes, of 16: {longest} bytes, of a zone: {zone} bytes"
    );
    println!("a node sends and receives {sent_per_node} bytes a second at most while calls wait");
    println!("a zone of 25 nodes: {} bytes a second", sent_per_node * 25);
    println!(
        "a relay: {} bytes a second to four other zones",
        zone * 4 * 4
    );
    println!(
        "a node receives {} bytes a second of zones",
        zone * 4 * 4 * 2
    );
    assert!(longest <= DATAGRAM_BYTES, "{longest}");
}

#[test]
fn a_report_with_long_names_of_services_fits_and_keeps_the_first_calls() {
    let mut report = full_report(16);
    for (number, queue) in report.services.iter_mut().enumerate() {
        queue.service = format!("{number}-{}", "long".repeat(50));
        queue.head = queue.head.map(|head| QueuePosition {
            over_share: number != 9,
            ..head
        });
    }
    report.services[9].over_share = 0;
    assert!(HEAD_BYTES + encode(&report).len() > DATAGRAM_BYTES);
    let fitted = report.fitted();
    let bytes = HEAD_BYTES + encode(&fitted).len();
    println!("{} services: {bytes} bytes", fitted.services.len());
    assert!(bytes <= DATAGRAM_BYTES, "{bytes}");
    assert!(fitted.services.len() >= 4);
    assert_eq!(fitted.tenants.len(), MAX_REPORTED_TENANTS);
    assert!(fitted.services[0].service.starts_with("9-"));
}

fn fleet() -> Fleet {
    let entries: Vec<WorkerEntry> = (0..WORKERS)
        .map(|number| WorkerEntry {
            id: format!("w{number}").into(),
            address: ([127, 0, 2, number as u8], 80).into(),
            zone: "za".to_owned(),
            service: "svc".to_owned(),
            slots: 4,
            state: WorkerState::Ready,
            cold_left_ms: 0,
            version: None,
        })
        .collect();
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    fleet.apply_directory(0, &entries);
    fleet.confirm_directory(0);
    fleet
}

fn known_uses() -> TenantUses {
    let mut uses = TenantUses::default();
    for tenant in 0..TENANTS {
        uses.record_start(TenantKey(tenant));
    }
    for peer in 1..=PEERS {
        let order = ReportOrder {
            start: 1,
            sequence: 1,
        };
        uses.record_node(0, node(peer), order, full_report(0).tenants);
    }
    uses
}

fn queue() -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    for number in 0..WAITING {
        let call = WaitingCall {
            rank: (number % 3) as u32,
            latest_start_ms: 10_000 + number * 7 % 600,
        };
        queue.push_of(TenantKey((number * 31) as u32 % TENANTS), call);
    }
    queue
}

fn print_cost(what: &str, mut work: impl FnMut()) {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    println!("{what}: {:?}", began.elapsed() / ROUNDS);
}

#[test]
fn cost_of_one_placement() {
    let (fleet, uses) = (fleet(), known_uses());
    let mut queue = queue();
    let mut zone = ZoneQueues::default();
    for peer in 1..=PEERS {
        zone.record(0, node(peer), vec![service_queue("svc")]);
    }
    let contender = |number| Contender {
        node: node(number),
        waiting: 9,
    };
    let others: Vec<Contender> = (1..=PEERS).map(contender).collect();
    let prompt = Prompt::default();
    let homes = AllowedRegions::default();
    let request = PlacementRequest {
        service: "svc",
        prompt: &prompt,
        except: &[],
        software: RequiredSoftware::Any,
        runs_once: false,
        homes: &homes,
    };
    let place = |ahead: &dyn Fn(pinerill_forward::fleet::WorkerKey) -> usize| {
        fleet.place(0, &request, false, |worker, _| ahead(worker) < 1)
    };
    print_cost("head of the queue, without shares", || {
        black_box(queue.head(10_000, 6));
    });
    print_cost("choice of a worker, without shares", || {
        let own = contender(PEERS + 1);
        let ahead = |worker| pinerill_forward::dispatch::claims::nodes_ahead(own, &others, worker);
        black_box(place(&ahead));
    });
    let waiting = queue.waiting_by_tenant();
    print_cost("division of the slots, at most 50 times a second", || {
        black_box(Shares::of_slots_in_use(&uses.demands(0, &waiting)));
    });
    queue.set_shares(Some(Shares::of_slots_in_use(&uses.demands(0, &waiting))));
    print_cost("head of the queue, with shares", || {
        black_box(queue.head(10_000, 6));
    });
    print_cost("choice of a worker, with shares", || {
        let own = contender(PEERS + 1);
        let rivals = zone.rivals(0, "svc", 1, false, others.clone());
        let ahead = |worker| rivals.nodes_ahead(own, worker);
        black_box(place(&ahead));
    });
    print_cost("receiver of a released slot", || {
        black_box(zone.receiver(0, "svc", None, 0.5));
    });
}
