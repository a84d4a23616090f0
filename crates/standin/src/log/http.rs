//! The HTTP side of the store.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{Method, Request, Response, StatusCode};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;
use serde_json::json;

use super::{
    LogFaults, Shared,
    store::{Batch, split_keyed},
};
use crate::{
    http::{json_reply, parse_query, text_reply},
    server::{Handler, Reply, ReplyEnd},
};

/// Time between two looks for records that a read waits for.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// Prefix of topics whose records hold a key and a value.
const KEYED: &str = "keyed.";

/// Longest record, in bytes.
const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Bytes of records in one answer when the reader sets no `maxKb`.
const DEFAULT_MAX_KB: usize = 1024;

/// The handlers of the main and the control listener.
pub(super) fn handlers(shared: Arc<Shared>) -> (Rc<dyn Handler>, Rc<dyn Handler>) {
    (Rc::new(Main(Arc::clone(&shared))), Rc::new(Control(shared)))
}

struct Main(Arc<Shared>);

impl Handler for Main {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            let faults = {
                let mut state = self.0.lock();
                state.calls += 1;
                state.faults.clone()
            };
            if faults.silent {
                return std::future::pending().await;
            }
            let mut reply = if faults.refuse {
                text_reply(StatusCode::SERVICE_UNAVAILABLE, "refused by a fault switch")
            } else {
                self.call(req, body, &faults).await
            };
            if faults.delay_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if faults.lose_answers && req.method() == Method::POST {
                reply.end = ReplyEnd::CloseUnanswered;
            }
            if faults.cut_answers && req.method() == Method::GET {
                reply.end = ReplyEnd::CutInBody;
            }
            reply
        }
        .boxed_local()
    }
}

impl Main {
    async fn call(&self, req: &Request, body: Bytes, faults: &LogFaults) -> Reply {
        let Some(topic) = parse_query::<String>(req, "topic") else {
            return text_reply(StatusCode::BAD_REQUEST, "a topic is needed");
        };
        match (req.method(), req.path()) {
            (&Method::POST, "/-/log-append") => self.append(&topic, body),
            (&Method::GET, "/-/log-read") => self.read(req, &topic, faults.hide_newest).await,
            (&Method::GET, "/-/log-newest") => self.newest(&topic),
            _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn append(&self, topic: &str, mut body: Bytes) -> Reply {
        let mut records = Vec::new();
        while !body.is_empty() {
            let length = match body.try_get_u32() {
                Ok(length) if length as usize <= body.len() => length as usize,
                _ => return text_reply(StatusCode::BAD_REQUEST, "a record is cut"),
            };
            if length > MAX_RECORD_BYTES {
                return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "a record is too long");
            }
            records.push(body.split_to(length));
        }
        let mut state = self.0.lock();
        let end = state.store.read(topic, u64::MAX, 0).next;
        for record in records {
            state.store.append(topic, record);
        }
        let new_end = state.store.read(topic, u64::MAX, 0).next;
        json_reply(&json!({ "offset": end, "end": new_end }))
    }

    async fn read(&self, req: &Request, topic: &str, hide: u64) -> Reply {
        let from = parse_query(req, "from").unwrap_or(0);
        let max_kb = parse_query(req, "maxKb").unwrap_or(DEFAULT_MAX_KB);
        let wait = Duration::from_millis(parse_query(req, "waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let batch = self.0.lock().store.read(topic, from, hide);
            if from < batch.oldest {
                return gone(batch.oldest);
            }
            if !batch.records.is_empty() || Instant::now() >= until {
                return page(&batch, max_kb * 1024);
            }
            actix_rt::time::sleep(WAIT_STEP).await;
        }
    }

    fn newest(&self, topic: &str) -> Reply {
        let batch = self.0.lock().store.read(topic, 0, 0);
        let mut newest = BTreeMap::new();
        if topic.starts_with(KEYED) {
            for (record, offset) in batch.records.iter().zip(batch.oldest..) {
                if let Some((key, value)) = split_keyed(record) {
                    let value = STANDARD.encode(value);
                    let item = json!({ "key": key, "value": value, "offset": offset });
                    newest.insert(key, item);
                }
            }
        }
        let items: Vec<_> = newest.into_values().collect();
        json_reply(&json!({ "items": items, "truncated": false, "end": batch.next }))
    }
}

fn gone(oldest: u64) -> Reply {
    let body = json!({ "first": oldest }).to_string();
    Reply::new(Response::with_body(StatusCode::GONE, ()), body)
}

/// The records of a read, at most `max_bytes` of them but at least one.
fn page(batch: &Batch, max_bytes: usize) -> Reply {
    let mut body = BytesMut::new();
    body.put_u64(batch.next);
    body.put_u64(batch.oldest);
    let head = body.len();
    for record in &batch.records {
        if body.len() > head && body.len() + record.len() > max_bytes {
            break;
        }
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Reply::new(Response::with_body(StatusCode::OK, ()), body.freeze())
}

struct Control(Arc<Shared>);

#[derive(Deserialize)]
struct Trim {
    topic: String,
    oldest: u64,
}

#[derive(Deserialize)]
struct Append {
    topic: String,
    data: String,
}

impl Handler for Control {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        std::future::ready(self.call(req, &body)).boxed_local()
    }
}

fn done() -> Reply {
    Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
}

fn bad_request(e: &serde_json::Error) -> Reply {
    text_reply(StatusCode::BAD_REQUEST, &e.to_string())
}

impl Control {
    fn call(&self, req: &Request, body: &[u8]) -> Reply {
        match (req.method().as_str(), req.path()) {
            ("GET", "/faults") => json_reply(&self.0.lock().faults),
            ("PUT", "/faults") => match serde_json::from_slice::<LogFaults>(body) {
                Ok(faults) => {
                    self.0.set_faults(faults);
                    done()
                }
                Err(e) => bad_request(&e),
            },
            ("POST", "/append") => match serde_json::from_slice::<Append>(body) {
                Ok(Append { topic, data }) => {
                    let offset = self.0.lock().store.append(&topic, Bytes::from(data));
                    json_reply(&json!({ "offset": offset }))
                }
                Err(e) => bad_request(&e),
            },
            ("POST", "/trim") => match serde_json::from_slice::<Trim>(body) {
                Ok(trim) => {
                    self.0.lock().store.trim(&trim.topic, trim.oldest);
                    done()
                }
                Err(e) => bad_request(&e),
            },
            ("POST", "/restart") => {
                self.0.lock().store.clear();
                done()
            }
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
