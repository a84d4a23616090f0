//! The part of a caller's request body that is streamed.

use bytes::{Bytes, BytesMut};
use plantainpost_wire::message::MAX_BODY_FRAME_BYTES;

use super::{caller_request::BadRequest, conn::RequestBody};

/// The part of a request body that is streamed, because the body exceeds [`MAX_BODY_FRAME_BYTES`].
pub(crate) struct BodyRemainder {
    body: RequestBody,
    /// Bytes that were read from the caller but not returned by [`BodyRemainder::next`].
    pending: BytesMut,
    /// Bytes returned so far, including the prefix.
    forwarded_bytes: u64,
}

impl BodyRemainder {
    pub(super) fn new(body: RequestBody) -> Self {
        BodyRemainder {
            body,
            pending: BytesMut::new(),
            forwarded_bytes: 0,
        }
    }

    /// Returns the next piece of at most [`MAX_BODY_FRAME_BYTES`] bytes, or `None` at the end of a
    /// complete body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BadRequest> {
        while self.pending.is_empty() {
            match self.body.next().await? {
                Some(bytes) => self.pending.extend_from_slice(&bytes),
                None => return Ok(None),
            }
        }
        let count = self.pending.len().min(MAX_BODY_FRAME_BYTES);
        let piece = self.pending.split_to(count).freeze();
        self.forwarded_bytes += count as u64;
        Ok(Some(piece))
    }

    /// Returns the number of body bytes returned so far, including the prefix.
    pub(crate) fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Reads up to [`MAX_BODY_FRAME_BYTES`] bytes. The flag is `true` if they are the whole body.
    ///
    /// Whether a body of exactly that length is complete is known only once something follows: its
    /// end, or a further piece.
    pub(super) async fn read_prefix(
        &mut self,
        content_length: Option<u64>,
    ) -> Result<(Bytes, bool), BadRequest> {
        let is_longer = content_length.is_some_and(|length| length > MAX_BODY_FRAME_BYTES as u64);
        let mut body_prefix = BytesMut::new();
        while body_prefix.len() < MAX_BODY_FRAME_BYTES || (!is_longer && self.pending.is_empty()) {
            let Some(piece) = self.body.next().await? else {
                self.forwarded_bytes = body_prefix.len() as u64;
                return Ok((body_prefix.freeze(), true));
            };
            let fits = (MAX_BODY_FRAME_BYTES - body_prefix.len()).min(piece.len());
            body_prefix.extend_from_slice(&piece[..fits]);
            self.pending.extend_from_slice(&piece[fits..]);
        }
        self.forwarded_bytes = body_prefix.len() as u64;
        Ok((body_prefix.freeze(), false))
    }
}
