//! The channel that carries a response from the task of a request to its connection, and the
//! HTTP/1.1 encoding of the response.

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use plantainpost_http1::{Header, push_chunk, push_header};
use plantainpost_wire::message::BodyLength;
use tokio::sync::mpsc;

/// Capacity of the channel, in parts of a response.
const MAX_QUEUED_PARTS: usize = 4;

/// Head of a response to a caller.
pub(crate) struct CallerResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: BodyLength,
    /// Whether the connection is closed after this response.
    pub(crate) close: bool,
}

pub(super) enum ResponsePart {
    Head(CallerResponseHead),
    Data(Bytes),
    End,
}

/// The caller's connection has ended.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// Writes the response to one request. Dropping it before [`ResponseWriter::finish`] truncates the
/// response.
pub(crate) struct ResponseWriter {
    tx: mpsc::Sender<ResponsePart>,
}

impl ResponseWriter {
    /// Queues a response without a body. Must be called before anything else is sent.
    pub(super) fn queue_empty(&self, head: CallerResponseHead) {
        // A new channel has capacity for both parts.
        let _ = self.tx.try_send(ResponsePart::Head(head));
        let _ = self.tx.try_send(ResponsePart::End);
    }

    /// Sends the head.
    pub(crate) async fn send_head(&self, head: CallerResponseHead) -> Result<(), CallerGone> {
        self.send(ResponsePart::Head(head)).await
    }

    /// Sends a piece of the body.
    pub(crate) async fn send_data(&self, piece: Bytes) -> Result<(), CallerGone> {
        self.send(ResponsePart::Data(piece)).await
    }

    /// Sends a piece of the body if there is room, and returns it otherwise.
    pub(super) fn try_send_data(&self, piece: Bytes) -> Result<Option<Bytes>, CallerGone> {
        match self.tx.try_reserve() {
            Ok(room) => {
                room.send(ResponsePart::Data(piece));
                Ok(None)
            }
            Err(mpsc::error::TrySendError::Full(())) => Ok(Some(piece)),
            Err(mpsc::error::TrySendError::Closed(())) => Err(CallerGone),
        }
    }

    /// Waits until the connection can take a further part.
    ///
    /// This method is cancel safe.
    pub(super) async fn wait_for_room(&self) -> Result<PartRoom<'_>, CallerGone> {
        let room = self.tx.reserve().await;
        room.map(PartRoom).map_err(|_| CallerGone)
    }

    /// Completes the response.
    pub(crate) async fn finish(self) -> Result<(), CallerGone> {
        self.send(ResponsePart::End).await
    }

    async fn send(&self, part: ResponsePart) -> Result<(), CallerGone> {
        self.tx.send(part).await.map_err(|_| CallerGone)
    }
}

/// Room for one part of a response.
pub(super) struct PartRoom<'a>(mpsc::Permit<'a, ResponsePart>);

impl PartRoom<'_> {
    /// Sends a piece of the body.
    pub(super) fn send_data(self, piece: Bytes) {
        self.0.send(ResponsePart::Data(piece));
    }
}

/// The receiving end of a response, held by the connection that writes it.
pub(super) struct PendingResponse {
    pub(super) rx: mpsc::Receiver<ResponsePart>,
    /// Task of the request, aborted if the connection ends first.
    pub(super) task: Option<JoinHandle<()>>,
    pub(super) is_head_request: bool,
    pub(super) is_http10: bool,
    /// Whether the caller wants the connection closed afterwards.
    pub(super) close: bool,
    /// Body length stated in the head. `None` until the head is encoded.
    pub(super) stated_length: Option<BodyLength>,
    /// Bytes of the body encoded so far.
    pub(super) body_bytes_written: u64,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Creates the two ends of a response.
pub(super) fn response_channel() -> (ResponseWriter, PendingResponse) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_PARTS);
    let pending = PendingResponse {
        rx,
        task: None,
        is_head_request: false,
        is_http10: false,
        close: false,
        stated_length: None,
        body_bytes_written: 0,
    };
    (ResponseWriter { tx }, pending)
}

/// The parts of a response are out of order or don't match the stated body length.
pub(super) struct InvalidPart;

impl PendingResponse {
    /// Appends the encoded part to `out`. If `is_stopping`, the head announces the end of the
    /// connection.
    pub(super) fn encode(
        &mut self,
        out: &mut Vec<u8>,
        part: ResponsePart,
        is_stopping: bool,
    ) -> Result<(), InvalidPart> {
        match (part, self.stated_length) {
            (ResponsePart::Head(head), None) => self.encode_head(out, head, is_stopping),
            (ResponsePart::Data(piece), Some(length)) => {
                self.body_bytes_written += piece.len() as u64;
                match length {
                    // The head states the length that the body of a `GET` would have.
                    BodyLength::Chunked | BodyLength::Sized(_) if self.is_head_request => (),
                    BodyLength::Chunked if !self.is_http10 => push_chunk(out, &piece),
                    BodyLength::None => return Err(InvalidPart),
                    _ => out.extend_from_slice(&piece),
                }
            }
            (ResponsePart::End, Some(length)) => match length {
                BodyLength::Chunked if !self.is_http10 && !self.is_head_request => {
                    out.extend_from_slice(b"0\r\n\r\n")
                }
                BodyLength::Sized(length) if length != self.body_bytes_written => {
                    return Err(InvalidPart);
                }
                _ => (),
            },
            _ => return Err(InvalidPart),
        }
        Ok(())
    }

    fn encode_head(&mut self, out: &mut Vec<u8>, head: CallerResponseHead, is_stopping: bool) {
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let reason_phrase = status.canonical_reason().unwrap_or("Status");
        out.extend_from_slice(
            format!("HTTP/1.1 {} {reason_phrase}\r\n", status.as_u16()).as_bytes(),
        );
        for (name, value) in &head.headers {
            push_header(out, name, value);
        }
        let is_unframed = self.is_http10 && head.length == BodyLength::Chunked;
        self.close |= head.close || is_stopping || is_unframed;
        match head.length {
            BodyLength::Sized(length) => {
                push_header(out, "content-length", length.to_string().as_bytes());
            }
            BodyLength::Chunked if is_unframed => (),
            BodyLength::Chunked => push_header(out, "transfer-encoding", b"chunked"),
            BodyLength::None if self.is_head_request || matches!(head.status, 204 | 304) => (),
            BodyLength::None => push_header(out, "content-length", b"0"),
        }
        if self.close {
            push_header(out, "connection", b"close");
        } else if self.is_http10 {
            push_header(out, "connection", b"keep-alive");
        }
        out.extend_from_slice(b"\r\n");
        self.stated_length = Some(head.length);
    }
}
