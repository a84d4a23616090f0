//! Answers to callers.

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::{BodyStream, BoxBody, MessageBody, SizedStream},
    header,
};
use bytes::Bytes;
use futures_util::Stream;
use plantainpost_core::ids::RequestId;
use plantainpost_wire::message::{BodyLength, ResponseHead};

use crate::{entry::call::BadRequest, headers};

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

fn start(status: StatusCode, outcome: Outcome, id: Option<RequestId>) -> ResponseBuilder {
    let mut builder = Response::build(status);
    builder.insert_header((headers::OUTCOME, headers::value(outcome.as_str())));
    if let Some(id) = id {
        builder.insert_header((headers::REQUEST_ID, headers::value(&id.to_string())));
    }
    builder
}

fn with_reason(mut builder: ResponseBuilder, reason: &str) -> Response<BoxBody> {
    builder.insert_header((headers::REASON, headers::value(reason)));
    builder.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
    builder
        .finish()
        .set_body(BoxBody::new(format!("{reason}\n")))
}

/// Tells the caller that its request is not valid.
///
/// The outcome is unknown when a target had begun to receive the request.
pub(crate) fn bad_request(reason: BadRequest, outcome: Outcome) -> Response<BoxBody> {
    let status = match reason {
        BadRequest::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BadRequest::Head => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    with_reason(start(status, outcome, None), reason.as_str())
}

/// Tells the caller that its request was not run.
pub(crate) fn not_run(id: RequestId, reason: &str) -> Response<BoxBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut builder = start(status, Outcome::NotRun, Some(id));
    builder.insert_header((header::RETRY_AFTER, RETRY_AFTER_S));
    with_reason(builder, reason)
}

/// Tells the caller that its request may have run.
pub(crate) fn unknown(id: RequestId, reason: &str, past_deadline: bool) -> Response<BoxBody> {
    let status = match past_deadline {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::BAD_GATEWAY,
    };
    with_reason(start(status, Outcome::Unknown, Some(id)), reason)
}

/// Passes the answer of a target on.
pub(crate) fn answered<S, E>(id: RequestId, head: &ResponseHead, body: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = start(status, Outcome::Answered, Some(id)).finish();
    headers::extend(res.headers_mut(), &head.headers);
    let body = match head.body {
        BodyLength::None => BoxBody::new(()),
        BodyLength::Sized(length) => SizedStream::new(length, body).boxed(),
        BodyLength::Chunked => BodyStream::new(body).boxed(),
    };
    res.set_body(body)
}
