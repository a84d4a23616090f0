//! Answers to callers.

use actix_http::StatusCode;
use bytes::Bytes;
use plantainpost_wire::message::{BodyLength, Header, PeerResponseHead};

use crate::{
    entry::call::{BadRequest, Call},
    entry::reply::{Gone, Reply, ReplyHead},
    headers::{self, HeaderNames},
};

/// Seconds after which a caller may send a refused request again.
const RETRY_AFTER_S: &str = "1";

/// What a caller is told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target answered.
    Answered,
    /// The request was not run and will not be.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the word for the outcome header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// An answer that the node makes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnAnswer {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) reason: &'static str,
    /// Seconds after which the caller may try again.
    pub(crate) retry_after_s: Option<&'static str>,
    /// Whether the rest of the connection can't be used.
    pub(crate) close: bool,
}

impl OwnAnswer {
    /// Tells the caller that its request is not valid.
    ///
    /// The outcome is unknown when a target had begun to receive the request.
    pub(crate) fn bad_request(reason: BadRequest, outcome: Outcome) -> Self {
        let status = match reason {
            BadRequest::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::NoRoute => StatusCode::NOT_FOUND,
            BadRequest::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        };
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        OwnAnswer {
            status,
            outcome,
            reason: reason.as_str(),
            retry_after_s: is_unavailable.then_some(RETRY_AFTER_S),
            close: matches!(reason, BadRequest::TooLong | BadRequest::Incomplete),
        }
    }

    /// Tells the caller that its request was not run.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        OwnAnswer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason,
            retry_after_s: Some(RETRY_AFTER_S),
            close: false,
        }
    }

    /// Tells the caller that its request may have run.
    pub(crate) fn unknown(reason: &'static str, past_deadline: bool) -> Self {
        OwnAnswer {
            status: match past_deadline {
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            },
            outcome: Outcome::Unknown,
            reason,
            retry_after_s: None,
            close: false,
        }
    }

    /// Sends the answer.
    pub(crate) async fn send(
        self,
        names: &HeaderNames,
        public_id: &Bytes,
        reply: Reply,
    ) -> Result<(), Gone> {
        let mut list = vec![
            headers::header(headers::OUTCOME, self.outcome.as_str()),
            headers::header(names.request_id, public_id.clone()),
            headers::header(headers::REASON, self.reason),
            headers::header("content-type", "text/plain; charset=utf-8"),
        ];
        if let Some(seconds) = self.retry_after_s {
            list.push(headers::header("retry-after", seconds));
        }
        let body = Bytes::from(format!("{}\n", self.reason));
        let head = ReplyHead {
            status: self.status.as_u16(),
            headers: list,
            length: BodyLength::Sized(body.len() as u64),
            close: self.close,
        };
        reply.head(head).await?;
        reply.data(body).await?;
        reply.end().await
    }
}

/// Returns the headers of an answer to bytes that are no request.
pub(crate) fn refusal_headers(reason: &'static str) -> Vec<Header> {
    vec![
        headers::header(headers::OUTCOME, Outcome::NotRun.as_str()),
        headers::header(headers::REASON, reason),
    ]
}

/// Returns the head of a target's answer for the caller.
pub(crate) fn answered(names: &HeaderNames, call: &Call, head: PeerResponseHead) -> ReplyHead {
    let mut list = head.headers;
    list.retain(headers::is_valid_header);
    if !names.callers_choose_id {
        let outcome = Outcome::Answered.as_str();
        list.push(headers::header(headers::OUTCOME, outcome));
        list.push(headers::header(names.request_id, call.public_id.clone()));
    }
    ReplyHead {
        status: head.status,
        headers: list,
        length: head.body,
        close: false,
    }
}
