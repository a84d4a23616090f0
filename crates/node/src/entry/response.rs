//! Responses to callers.

use actix_http::StatusCode;
use bytes::Bytes;
use plantainpost_core::{
    admission::RefuseReason,
    time::{MICROS_PER_MILLI, MICROS_PER_SECOND},
};
use plantainpost_wire::message::{BodyLength, Header, PeerResponseHead};

use crate::{
    entry::caller_request::{BadRequest, CallerRequest},
    entry::response_writer::{CallerGone, CallerResponseHead, ResponseWriter},
    headers::{self, HeaderNames},
};

/// Shortest time after which a caller may send a refused request again, in seconds.
const MIN_RETRY_AFTER_S: u64 = 1;

/// Outcome of a request as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// The target sent a response.
    Answered,
    /// The request was not run and will not be.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl CallerOutcome {
    /// Returns the value of the outcome header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallerOutcome::Answered => "answered",
            CallerOutcome::NotRun => "not-run",
            CallerOutcome::Unknown => "unknown",
        }
    }
}

/// A response that the node generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    pub(crate) status: StatusCode,
    pub(crate) outcome: CallerOutcome,
    pub(crate) reason: &'static str,
    /// Seconds after which the caller may retry, for the `retry-after` header.
    pub(crate) retry_after_s: Option<u64>,
    /// The same time in microseconds, which is sent with its fraction; `None` for whole seconds.
    pub(crate) retry_after_us: Option<u64>,
    /// Whether the connection is closed after the response.
    pub(crate) close: bool,
}

impl LocalResponse {
    /// Returns the response to a request that is rejected for `reason`.
    ///
    /// `outcome` is [`CallerOutcome::Unknown`] if a target had begun to receive the request.
    pub(crate) fn bad_request(reason: BadRequest, outcome: CallerOutcome) -> Self {
        let status = match reason {
            BadRequest::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::NoRoute => StatusCode::NOT_FOUND,
            BadRequest::Key(_) => StatusCode::UNAUTHORIZED,
            BadRequest::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        };
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        LocalResponse {
            status,
            outcome,
            reason: reason.as_str(),
            retry_after_s: is_unavailable.then_some(MIN_RETRY_AFTER_S),
            retry_after_us: None,
            close: matches!(reason, BadRequest::BodyTooLong | BadRequest::BodyIncomplete),
        }
    }

    /// Returns the response to a request whose key was withdrawn before it started.
    pub(crate) fn key_withdrawn() -> Self {
        LocalResponse {
            status: StatusCode::UNAUTHORIZED,
            retry_after_s: None,
            ..Self::not_run(RefuseReason::KeyWithdrawn.as_str())
        }
    }

    /// Returns the response to a request that was not run.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        LocalResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: CallerOutcome::NotRun,
            reason,
            retry_after_s: Some(MIN_RETRY_AFTER_S),
            retry_after_us: None,
            close: false,
        }
    }

    /// Returns the response to a request whose workspace is at its limit. There will be credit for it
    /// in `wait_us` microseconds.
    pub(crate) fn over_quota(wait_us: u64) -> Self {
        let response = LocalResponse {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..LocalResponse::not_run("quota")
        };
        response.with_retry_after(wait_us)
    }

    /// Delays the next try of the caller until a target can start a request, which takes `wait_us`
    /// microseconds.
    pub(crate) fn with_retry_after(self, wait_us: u64) -> Self {
        let wait_s = wait_us.div_ceil(MICROS_PER_SECOND);
        LocalResponse {
            retry_after_s: Some(wait_s.max(MIN_RETRY_AFTER_S)),
            ..self
        }
    }

    /// Tells the caller to try again after a time of which the fraction of a second matters;
    /// `None` to leave the time as it is.
    pub(crate) fn with_exact_retry_after(self, retry_after_us: Option<u64>) -> Self {
        LocalResponse {
            retry_after_us,
            ..self
        }
    }

    /// Returns the value of the `retry-after` header.
    pub(crate) fn retry_after(&self) -> Option<String> {
        let Some(micros) = self.retry_after_us else {
            return self.retry_after_s.map(|seconds| seconds.to_string());
        };
        // Rounded up, as the time must not end before there is room.
        let millis = micros.div_ceil(MICROS_PER_MILLI);
        Some(format!("{}.{:03}", millis / 1_000, millis % 1_000))
    }

    /// Returns the response to a request that may have run.
    pub(crate) fn unknown(reason: &'static str, past_deadline: bool) -> Self {
        LocalResponse {
            status: match past_deadline {
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            },
            outcome: CallerOutcome::Unknown,
            reason,
            retry_after_s: None,
            retry_after_us: None,
            close: false,
        }
    }

    /// Sends the response to the caller.
    pub(crate) async fn send(
        self,
        names: &HeaderNames,
        public_id: &Bytes,
        writer: ResponseWriter,
    ) -> Result<(), CallerGone> {
        let mut headers = vec![
            headers::header(headers::OUTCOME, self.outcome.as_str()),
            headers::header(names.request_id, public_id.clone()),
            headers::header(headers::REASON, self.reason),
            headers::header("content-type", "text/plain; charset=utf-8"),
        ];
        if let Some(retry_after) = self.retry_after() {
            headers.push(headers::header("retry-after", retry_after));
        }
        if let (StatusCode::UNAUTHORIZED, Some(name)) = (self.status, names.workspace_key) {
            // RFC 9110, section 15.5.2, wants a challenge.
            let challenge = format!("ApiKey header=\"{name}\"");
            headers.push(headers::header("www-authenticate", challenge));
        }
        let body = Bytes::from(format!("{}\n", self.reason));
        let head = CallerResponseHead {
            status: self.status.as_u16(),
            headers,
            length: BodyLength::Sized(body.len() as u64),
            close: self.close,
        };
        writer.send_head(head).await?;
        writer.send_data(body).await?;
        writer.finish().await
    }
}

/// Returns the headers of the response to input without a valid request head.
pub(crate) fn malformed_request_headers(reason: &'static str) -> Vec<Header> {
    vec![
        headers::header(headers::OUTCOME, CallerOutcome::NotRun.as_str()),
        headers::header(headers::REASON, reason),
    ]
}

/// Converts the head of a target's response for the caller.
pub(crate) fn target_response_head(
    names: &HeaderNames,
    request: &CallerRequest,
    head: PeerResponseHead,
) -> CallerResponseHead {
    let mut headers = head.headers;
    headers.retain(headers::is_valid_header);
    if !names.callers_choose_id {
        let outcome = CallerOutcome::Answered.as_str();
        headers.push(headers::header(headers::OUTCOME, outcome));
        headers.push(headers::header(names.request_id, request.public_id.clone()));
    }
    CallerResponseHead {
        status: head.status,
        headers,
        length: head.body,
        close: false,
    }
}
