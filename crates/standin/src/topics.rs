//! The platform's store: topics of binary records with offsets, long reads, and the newest
//! record of each key.
//!
//! It covers the calls that a node makes: append, read and newest, on partition 0.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use actix_http::{Method, Request, Response, StatusCode};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde_json::json;
use tokio::sync::watch;

use crate::{
    error::Result,
    http::{json as answer_json, query, text},
    server::{self, Ending, Gate, Handler, Reply, Thread},
};

/// Time between two looks for records that a read waits for.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// Prefix of topics whose records hold a key and a value.
const KEYED: &str = "keyed.";

/// Fault switches of the store. A value states all of them; the default is no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TopicFaults {
    /// Every call is answered with 503 and has no effect.
    pub refuse: bool,
    /// Calls are taken and never answered.
    pub silent: bool,
    /// Appends take effect, but the connection is closed without an answer.
    pub lose_answers: bool,
    /// The answers to reads are cut in their middle.
    pub cut_answers: bool,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record of `records`.
    first: u64,
    records: Vec<Bytes>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    faults: TopicFaults,
    calls: u64,
}

#[derive(Debug, Default)]
struct Shared(Mutex<State>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }
}

/// A running store, stopped on drop.
#[derive(Debug)]
pub struct TopicsHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    _thread: Thread,
}

/// Starts a store in its own thread.
///
/// # Errors
///
/// Fails when the listener or the thread cannot be started.
pub fn start() -> Result<TopicsHandle> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (main, address) = server::bind(any)?;
    let (control, _) = server::bind(any)?;
    let gate = Arc::new(watch::Sender::new(Gate::Open));
    let shared = Arc::new(Shared::default());
    let served = Arc::clone(&shared);
    let thread = Thread::start("standin-topics", move |stopped| {
        let handler: Rc<dyn Handler> = Rc::new(Store(Arc::clone(&served)));
        let control_handler = Rc::new(Store(served));
        server::run(main, handler, control, control_handler, gate, stopped)
    })?;
    Ok(TopicsHandle {
        address,
        shared,
        _thread: thread,
    })
}

impl TopicsHandle {
    /// The address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: TopicFaults) {
        self.shared.lock().faults = faults;
    }

    /// Writes a record as an operator does, without regard to the fault switches.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.extend_from_slice(&[key.len() as u8]);
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.shared.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record.freeze());
    }

    /// Drops all records but the newest of each key, as expiry does.
    pub fn expire(&self, topic: &str) {
        let mut state = self.shared.lock();
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.end().saturating_sub(1);
            topic.records = topic
                .records
                .split_off(topic.records.len().saturating_sub(1));
        }
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

struct Store(Arc<Shared>);

impl Handler for Store {
    fn answer<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            let faults = {
                let mut state = self.0.lock();
                state.calls += 1;
                state.faults
            };
            if faults.silent {
                return std::future::pending().await;
            }
            if faults.refuse {
                return text(StatusCode::SERVICE_UNAVAILABLE, "refused by a fault switch");
            }
            let mut reply = match (req.method(), req.path()) {
                (&Method::POST, "/-/log-append") => self.append(req, body),
                (&Method::GET, "/-/log-read") => self.read(req).await,
                (&Method::GET, "/-/log-newest") => self.newest(req),
                _ => text(StatusCode::NOT_FOUND, "no such call"),
            };
            if faults.lose_answers && req.method() == Method::POST {
                reply.ending = Ending::Close;
            }
            if faults.cut_answers && req.method() == Method::GET {
                reply.ending = Ending::CutInBody;
            }
            reply
        }
        .boxed_local()
    }
}

impl Store {
    fn append(&self, req: &Request, mut body: Bytes) -> Reply {
        let Some(name) = query::<String>(req, "topic") else {
            return text(StatusCode::BAD_REQUEST, "a topic is needed");
        };
        let mut state = self.0.lock();
        let topic = state.topics.entry(name).or_default();
        let offset = topic.end();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            topic.records.push(body.split_to(length.min(body.len())));
        }
        answer_json(&json!({ "offset": offset, "end": topic.end() }))
    }

    async fn read(&self, req: &Request) -> Reply {
        let name = query::<String>(req, "topic").unwrap_or_default();
        let from = query(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(query(req, "waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let end = {
                let mut state = self.0.lock();
                let topic = state.topics.entry(name.clone()).or_default();
                if from < topic.first {
                    return gone(topic.first);
                }
                if from < topic.end() {
                    return records(topic, from);
                }
                topic.end()
            };
            if Instant::now() >= until {
                let mut state = self.0.lock();
                return records(state.topics.entry(name).or_default(), end);
            }
            actix_rt::time::sleep(WAIT_STEP).await;
        }
    }

    fn newest(&self, req: &Request) -> Reply {
        let name = query::<String>(req, "topic").unwrap_or_default();
        let mut state = self.0.lock();
        let topic = state.topics.entry(name.clone()).or_default();
        let mut newest = BTreeMap::new();
        for (i, record) in topic.records.iter().enumerate() {
            if !name.starts_with(KEYED) || record.is_empty() {
                continue;
            }
            let value_at = (1 + usize::from(record[0])).min(record.len());
            let key = String::from_utf8_lossy(&record[1..value_at]).into_owned();
            let item = json!({
                "key": key,
                "value": STANDARD.encode(&record[value_at..]),
                "offset": topic.first + i as u64,
            });
            newest.insert(key, item);
        }
        let items: Vec<_> = newest.into_values().collect();
        answer_json(&json!({ "items": items, "truncated": false, "end": topic.end() }))
    }
}

fn gone(first: u64) -> Reply {
    let body = json!({ "first": first }).to_string();
    Reply::new(Response::with_body(StatusCode::GONE, ()), body)
}

fn records(topic: &Topic, from: u64) -> Reply {
    let mut body = BytesMut::new();
    body.extend_from_slice(&topic.end().to_be_bytes());
    body.extend_from_slice(&topic.first.to_be_bytes());
    let at = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(at) {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    Reply::new(Response::with_body(StatusCode::OK, ()), body.freeze())
}
