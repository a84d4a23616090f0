//! Measures processor time per message and memory per member.

use std::{hint::black_box, time::Instant as Clock};

use plantainpost_core::{
    config::Progress,
    ids::NodeName,
    member::{Action, MemberRecord, MemberSettings, Membership, Message},
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::sim::{addr, record};

/// Iterations of each loop that is timed.
const ITERATIONS: u32 = 20_000;

/// Number of tables built to determine the memory of one.
const TABLE_COUNT: usize = 100;

/// Incarnation of all members.
const INCARNATION: u64 = 1_796_000_000_000_000;

/// Measures a table of `members` and prints the results.
pub(crate) fn print(members: usize) {
    let before = resident_bytes();
    let mut tables: Vec<Membership> = (0..TABLE_COUNT).map(|_| table(members)).collect();
    let table_bytes = (resident_bytes() - before) / TABLE_COUNT;
    let per_member = table_bytes / members.max(1);
    println!("memory: {table_bytes} bytes per table, {per_member} bytes per member");
    let mut rng = StdRng::seed_from_u64(1);
    let member = &mut tables[0];
    let drained_at = drain_gossip_queues(member, &mut rng);
    time_ping(member, drained_at, &mut rng);
    time_tick(member, drained_at, &mut rng);
}

/// Builds a table from encoded records, so that no two share a string.
fn table(members: usize) -> Membership {
    let (now, mut rng) = (Instant::from_millis(0), StdRng::seed_from_u64(1));
    let local = record("local", 0, INCARNATION);
    let mut member = Membership::new(MemberSettings::default(), local, &[], now);
    for i in 1..=members {
        let records = vec![record(&format!("node-{i:04}.fleet"), i, INCARNATION)];
        let buf = encode(&Message::Records { seq: 0, records });
        member.receive(now, addr(1), &decode(&buf), &mut rng);
    }
    member
}

/// Ticks and answers pings until the gossip queues no longer hold the initial records, and
/// returns the time then.
fn drain_gossip_queues(member: &mut Membership, rng: &mut StdRng) -> Instant {
    let mut now = Instant::from_millis(0);
    for seq in 0..4_000 {
        now = now.saturating_add_millis(100);
        step(member, now, seq, rng);
    }
    now
}

/// Ticks the member, pings it and answers its pings, so that it suspects no other member.
fn step(member: &mut Membership, now: Instant, seq: u32, rng: &mut StdRng) {
    let mut actions = member.tick(now, rng);
    actions.extend(member.receive(now, addr(1), &ping(seq, vec![]), rng));
    for action in actions {
        if let Action::Send { to, message } = action
            && let Message::Ping {
                seq,
                to: Some(from),
                ..
            } = message
        {
            let (progress, records) = (Progress::default(), Vec::new());
            let ack = Message::Ack {
                seq,
                from,
                progress,
                records,
            };
            member.receive(now, to, &ack, rng);
        }
    }
}

fn ping(seq: u32, records: Vec<MemberRecord>) -> Message {
    let (from, to) = (NodeName::from("node-0001.fleet"), None);
    Message::Ping {
        seq,
        from,
        to,
        progress: Progress::default(),
        records,
    }
}

/// Measures decoding a ping, handling it and encoding the answer, for a ping of 7 records
/// and for one of the largest size.
fn time_ping(member: &mut Membership, now: Instant, rng: &mut StdRng) {
    for count in [7, 13] {
        let records = (1..=count).map(|i| record(&format!("node-{i:04}.fleet"), i, INCARNATION));
        let buf = encode(&ping(7, records.collect()));
        let mut answer_bytes = 0;
        let started = Clock::now();
        for _ in 0..ITERATIONS {
            for action in member.receive(now, addr(1), &decode(&buf), rng) {
                if let Action::Send { message, .. } = action {
                    answer_bytes = black_box(encode(&message)).len();
                }
            }
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS);
        let bytes = buf.len();
        println!("ping of {bytes} bytes, ack of {answer_bytes} bytes: {micros:.2} µs for both");
    }
}

fn time_tick(member: &mut Membership, mut now: Instant, rng: &mut StdRng) {
    let started = Clock::now();
    for seq in 0..ITERATIONS {
        now = now.saturating_add_millis(100);
        step(member, now, seq, rng);
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS);
    println!("tick with its share of probes, a ping and an ack: {micros:.2} µs");
}

fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are encodable")
}

fn decode(buf: &[u8]) -> Message {
    postcard::from_bytes(buf).expect("an encoded message")
}

/// Returns the resident set size of this process, with pages of 4 KiB.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}
