//! Answers on their way from the task of a request to its connection.

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use plantainpost_http1::{Header, push_chunk, push_header};
use plantainpost_wire::message::BodyLength;
use tokio::sync::mpsc;

/// Parts of an answer that wait for the connection.
const REPLY_PARTS: usize = 4;

/// Head of an answer.
pub(crate) struct ReplyHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: BodyLength,
    /// Whether the connection ends after this answer.
    pub(crate) close: bool,
}

pub(super) enum ReplyPart {
    Head(ReplyHead),
    Data(Bytes),
    End,
}

/// The connection has ended.
#[derive(Debug)]
pub(crate) struct Gone;

/// Writes the answer to one request. Dropping it before [`Reply::end`] cuts the answer.
pub(crate) struct Reply {
    tx: mpsc::Sender<ReplyPart>,
}

impl Reply {
    /// Queues the head and the end of an answer without body. Only a new answer has room.
    pub(super) fn queue_empty(&self, head: ReplyHead) {
        // A new channel has room for both parts.
        let _ = self.tx.try_send(ReplyPart::Head(head));
        let _ = self.tx.try_send(ReplyPart::End);
    }

    /// Sends the head.
    pub(crate) async fn head(&self, head: ReplyHead) -> Result<(), Gone> {
        self.send(ReplyPart::Head(head)).await
    }

    /// Sends a piece of the body.
    pub(crate) async fn data(&self, piece: Bytes) -> Result<(), Gone> {
        self.send(ReplyPart::Data(piece)).await
    }

    /// Completes the answer.
    pub(crate) async fn end(self) -> Result<(), Gone> {
        self.send(ReplyPart::End).await
    }

    async fn send(&self, part: ReplyPart) -> Result<(), Gone> {
        self.tx.send(part).await.map_err(|_| Gone)
    }
}

/// An answer that is to be written.
pub(super) struct Pending {
    pub(super) rx: mpsc::Receiver<ReplyPart>,
    /// Aborted when the connection ends first.
    pub(super) task: Option<JoinHandle<()>>,
    pub(super) is_head: bool,
    pub(super) is_http10: bool,
    /// Whether the caller wants the connection closed afterwards.
    pub(super) close: bool,
    /// Length of the body, once the head was written.
    pub(super) writing: Option<BodyLength>,
    /// Bytes of the body that were written.
    pub(super) written: u64,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Makes the two ends of an answer.
pub(super) fn pending_reply() -> (Reply, Pending) {
    let (tx, rx) = mpsc::channel(REPLY_PARTS);
    let pending = Pending {
        rx,
        task: None,
        is_head: false,
        is_http10: false,
        close: false,
        writing: None,
        written: 0,
    };
    (Reply { tx }, pending)
}

/// The parts of an answer do not fit together.
pub(super) struct Mismatch;

impl Pending {
    /// Adds a part to the bytes for the connection.
    pub(super) fn encode(
        &mut self,
        out: &mut Vec<u8>,
        part: ReplyPart,
        stop: bool,
    ) -> Result<(), Mismatch> {
        match (part, self.writing) {
            (ReplyPart::Head(head), None) => self.encode_head(out, head, stop),
            (ReplyPart::Data(piece), Some(length)) => {
                self.written += piece.len() as u64;
                match length {
                    BodyLength::Chunked if !self.is_http10 => push_chunk(out, &piece),
                    BodyLength::None => return Err(Mismatch),
                    _ => out.extend_from_slice(&piece),
                }
            }
            (ReplyPart::End, Some(length)) => match length {
                BodyLength::Chunked if !self.is_http10 => out.extend_from_slice(b"0\r\n\r\n"),
                BodyLength::Sized(length) if length != self.written => return Err(Mismatch),
                _ => (),
            },
            _ => return Err(Mismatch),
        }
        Ok(())
    }

    fn encode_head(&mut self, out: &mut Vec<u8>, head: ReplyHead, stop: bool) {
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let reason = status.canonical_reason().unwrap_or("Status");
        out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
        for (name, value) in &head.headers {
            push_header(out, name, value);
        }
        let is_unframed = self.is_http10 && head.length == BodyLength::Chunked;
        self.close |= head.close || stop || is_unframed;
        match head.length {
            BodyLength::Sized(length) => {
                push_header(out, "content-length", length.to_string().as_bytes());
            }
            BodyLength::Chunked if is_unframed => (),
            BodyLength::Chunked => push_header(out, "transfer-encoding", b"chunked"),
            BodyLength::None if self.is_head || matches!(head.status, 204 | 304) => (),
            BodyLength::None => push_header(out, "content-length", b"0"),
        }
        if self.close {
            push_header(out, "connection", b"close");
        } else if self.is_http10 {
            push_header(out, "connection", b"keep-alive");
        }
        out.extend_from_slice(b"\r\n");
        self.writing = Some(head.length);
    }
}
