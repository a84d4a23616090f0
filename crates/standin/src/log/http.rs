//! The HTTP interface of the log service.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    Method, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;
use serde_json::json;

use super::{
    LogFaults, LogState, SharedLog,
    store::{ReadBatch, decode_keyed_record},
};
use crate::{
    http::{json_reply, parse_query, text_reply},
    server::{Handler, Reply, ReplyEnd},
};

/// Interval at which a waiting read polls for new records.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of topics whose records consist of a key and a value.
const KEYED_TOPIC_PREFIX: &str = "keyed.";

/// Longest record, in bytes.
const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Limit of the records in one response, in KiB, when the reader sets no `maxKb`.
const DEFAULT_MAX_KB: usize = 1024;

/// Header with the number of restores of the service.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Returns the handlers of the main and of the control listener.
pub(super) fn log_handlers(shared: Arc<SharedLog>) -> (Rc<dyn Handler>, Rc<dyn Handler>) {
    (
        Rc::new(LogHandler(Arc::clone(&shared))),
        Rc::new(ControlHandler(shared)),
    )
}

struct LogHandler(Arc<SharedLog>);

impl Handler for LogHandler {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            let (faults, era) = {
                let mut state = self.0.lock();
                state.call_count += 1;
                (state.faults.clone(), state.era)
            };
            if faults.silent {
                return std::future::pending().await;
            }
            let mut reply = if faults.refuse {
                let reply = text_reply(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "rejected by a fault switch",
                );
                self.0.lock().with_era(reply)
            } else {
                self.handle_call(req, body, &faults, era).await
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

impl LogHandler {
    /// Returns the answer to a call that arrived in the given era.
    async fn handle_call(
        &self,
        req: &Request,
        body: Bytes,
        faults: &LogFaults,
        era: Option<u64>,
    ) -> Reply {
        let Some(topic) = parse_query::<String>(req, "topic") else {
            let reply = text_reply(StatusCode::BAD_REQUEST, "missing query parameter: topic");
            return self.0.lock().with_era(reply);
        };
        if (req.method(), req.path()) == (&Method::GET, "/-/log-read") {
            return self.read(req, &topic, faults.hide_newest, era).await;
        }
        // Content and era of an answer are of the same moment.
        let mut state = self.0.lock();
        let reply = match (req.method(), req.path()) {
            (&Method::POST, "/-/log-append") => append(&mut state, &topic, body),
            (&Method::GET, "/-/log-newest") => read_newest(&mut state, &topic),
            _ => text_reply(StatusCode::NOT_FOUND, "unknown method or path"),
        };
        state.with_era(reply)
    }

    /// Answers a read. A restore ends the wait of a read that arrived in an earlier era.
    async fn read(
        &self,
        req: &Request,
        topic: &str,
        hidden_count: u64,
        first_era: Option<u64>,
    ) -> Reply {
        let from = parse_query(req, "from").unwrap_or(0);
        let max_kb = parse_query(req, "maxKb").unwrap_or(DEFAULT_MAX_KB);
        let wait = Duration::from_millis(parse_query(req, "waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut state = self.0.lock();
                let may_wait = Instant::now() < deadline && state.era == first_era;
                if let Some(reply) = read(&mut state, topic, from, hidden_count, max_kb, may_wait) {
                    return state.with_era(reply);
                }
            }
            actix_rt::time::sleep(READ_POLL_INTERVAL).await;
        }
    }
}

impl LogState {
    /// Adds the header with the era, if the service states one.
    fn with_era(&self, mut reply: Reply) -> Reply {
        if let Some(era) = self.era {
            let headers = reply.head.headers_mut();
            headers.insert(ERA_HEADER, HeaderValue::from(era));
        }
        reply
    }
}

fn append(state: &mut LogState, topic: &str, mut body: Bytes) -> Reply {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = match body.try_get_u32() {
            Ok(length) if length as usize <= body.len() => length as usize,
            _ => return text_reply(StatusCode::BAD_REQUEST, "truncated record"),
        };
        if length > MAX_RECORD_BYTES {
            return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "record exceeds 256 KiB");
        }
        records.push(body.split_to(length));
    }
    let first_offset = state.store.read(topic, u64::MAX, 0).next_offset;
    for record in records {
        state.store.append(topic, record);
    }
    let end_offset = state.store.read(topic, u64::MAX, 0).next_offset;
    json_reply(&json!({ "offset": first_offset, "end": end_offset }))
}

/// Returns the answer to a read; `None` if there are no records and the read may wait.
fn read(
    state: &mut LogState,
    topic: &str,
    from: u64,
    hidden_count: u64,
    max_kb: usize,
    may_wait: bool,
) -> Option<Reply> {
    let end_offset = state.store.read(topic, u64::MAX, 0).next_offset;
    let batch = state.store.read(topic, from, hidden_count);
    let is_beyond_end = state.era.is_some() && from > end_offset;
    if from < batch.oldest_offset || is_beyond_end {
        return Some(gone_reply(batch.oldest_offset));
    }
    let is_complete = !batch.records.is_empty() || !may_wait;
    is_complete.then(|| records_reply(&batch, max_kb * 1024))
}

fn read_newest(state: &mut LogState, topic: &str) -> Reply {
    let batch = state.store.read(topic, 0, 0);
    let mut newest_by_key = BTreeMap::new();
    if topic.starts_with(KEYED_TOPIC_PREFIX) {
        for (record, offset) in batch.records.iter().zip(batch.oldest_offset..) {
            if let Some((key, value)) = decode_keyed_record(record) {
                let value = STANDARD.encode(value);
                let item = json!({ "key": key, "value": value, "offset": offset });
                newest_by_key.insert(key, item);
            }
        }
    }
    let items: Vec<_> = newest_by_key.into_values().collect();
    json_reply(&json!({ "items": items, "truncated": false, "end": batch.next_offset }))
}

fn gone_reply(oldest: u64) -> Reply {
    let body = json!({ "first": oldest }).to_string();
    Reply::new(Response::with_body(StatusCode::GONE, ()), body)
}

/// Returns the response to a read: at least one record if there is any, and no further record
/// that would take the body above `max_bytes`.
fn records_reply(batch: &ReadBatch, max_bytes: usize) -> Reply {
    let mut body = BytesMut::new();
    body.put_u64(batch.next_offset);
    body.put_u64(batch.oldest_offset);
    let header_len = body.len();
    for record in &batch.records {
        if body.len() > header_len && body.len() + record.len() > max_bytes {
            break;
        }
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Reply::new(Response::with_body(StatusCode::OK, ()), body.freeze())
}

struct ControlHandler(Arc<SharedLog>);

#[derive(Deserialize)]
struct TrimRequest {
    topic: String,
    oldest: u64,
}

#[derive(Deserialize)]
struct AppendRequest {
    topic: String,
    data: String,
}

impl Handler for ControlHandler {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        std::future::ready(self.handle_control(req, &body)).boxed_local()
    }
}

fn no_content_reply() -> Reply {
    Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
}

fn invalid_json_reply(e: &serde_json::Error) -> Reply {
    text_reply(StatusCode::BAD_REQUEST, &e.to_string())
}

impl ControlHandler {
    fn handle_control(&self, req: &Request, body: &[u8]) -> Reply {
        match (req.method().as_str(), req.path()) {
            ("GET", "/faults") => json_reply(&self.0.lock().faults),
            ("PUT", "/faults") => match serde_json::from_slice::<LogFaults>(body) {
                Ok(faults) => {
                    self.0.set_faults(faults);
                    no_content_reply()
                }
                Err(e) => invalid_json_reply(&e),
            },
            ("POST", "/append") => match serde_json::from_slice::<AppendRequest>(body) {
                Ok(AppendRequest { topic, data }) => {
                    let offset = self.0.lock().store.append(&topic, Bytes::from(data));
                    json_reply(&json!({ "offset": offset }))
                }
                Err(e) => invalid_json_reply(&e),
            },
            ("POST", "/trim") => match serde_json::from_slice::<TrimRequest>(body) {
                Ok(trim) => {
                    self.0.lock().store.trim_before(&trim.topic, trim.oldest);
                    no_content_reply()
                }
                Err(e) => invalid_json_reply(&e),
            },
            ("POST", "/restart") => {
                self.0.lock().store.clear();
                no_content_reply()
            }
            ("POST", "/copy") => {
                let mut state = self.0.lock();
                state.kept_copy = Some(state.store.copy());
                no_content_reply()
            }
            ("POST", "/restore") => self.restore_kept_copy(),
            _ => text_reply(StatusCode::NOT_FOUND, "unknown method or path"),
        }
    }

    fn restore_kept_copy(&self) -> Reply {
        let mut state = self.0.lock();
        let Some(copy) = state.kept_copy.take() else {
            return text_reply(StatusCode::CONFLICT, "no copy was taken");
        };
        state.restore(&copy);
        state.kept_copy = Some(copy);
        no_content_reply()
    }
}
