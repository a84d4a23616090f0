//! The HTTP side of the log service.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;

use super::{LogFaults, Shared};
use crate::{
    http::{json, query, text},
    server::{Ending, Handler, Reply},
};

/// Records in one answer when the reader sets no `max`.
const DEFAULT_MAX: usize = 1000;

/// The handlers of the main and the control listener.
pub(super) fn handlers(shared: Arc<Shared>) -> (Rc<dyn Handler>, Rc<dyn Handler>) {
    (Rc::new(Main(Arc::clone(&shared))), Rc::new(Control(shared)))
}

struct Main(Arc<Shared>);

impl Handler for Main {
    fn answer<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            let faults = self.0.lock().faults.clone();
            let mut reply = if faults.refuse {
                text(StatusCode::SERVICE_UNAVAILABLE, "refused by a fault switch")
            } else {
                self.call(req, &body, &faults)
            };
            if faults.delay_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if faults.lose_answers && req.method() == Method::POST {
                reply.ending = Ending::Close;
            }
            reply
        }
        .boxed_local()
    }
}

impl Main {
    fn call(&self, req: &Request, body: &[u8], faults: &LogFaults) -> Reply {
        let Some(name) = req.path().strip_prefix("/streams/") else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        let mut state = self.0.lock();
        match *req.method() {
            Method::POST => {
                let Ok(data) = std::str::from_utf8(body) else {
                    return text(StatusCode::BAD_REQUEST, "a record must be UTF-8");
                };
                let offset = state.store.append(name, data.to_owned());
                json(&serde_json::json!({ "offset": offset }))
            }
            Method::GET => {
                let from = query(req, "from").unwrap_or(0);
                let max = query(req, "max").unwrap_or(DEFAULT_MAX);
                json(&state.store.read(name, from, max, faults.hide_newest))
            }
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
        }
    }
}

struct Control(Arc<Shared>);

#[derive(Deserialize)]
struct Trim {
    stream: String,
    oldest: u64,
}

impl Handler for Control {
    fn answer<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        std::future::ready(self.call(req, &body)).boxed_local()
    }
}

impl Control {
    fn call(&self, req: &Request, body: &[u8]) -> Reply {
        match (req.method().as_str(), req.path()) {
            ("GET", "/faults") => json(&self.0.lock().faults),
            ("PUT", "/faults") => match serde_json::from_slice::<LogFaults>(body) {
                Ok(faults) => {
                    self.0.set_faults(faults);
                    Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
                }
                Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
            },
            ("POST", "/trim") => match serde_json::from_slice::<Trim>(body) {
                Ok(trim) => {
                    self.0.lock().store.trim(&trim.stream, trim.oldest);
                    Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
                }
                Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
            },
            ("POST", "/restart") => {
                self.0.lock().store.clear();
                Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
