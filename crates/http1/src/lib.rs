//! HTTP/1.1 framing, and client connections.
//!
//! The syntax is parsed by `httparse`. The framing is decoded here, because a relay has to
//! know whether a body was complete, how a connection ended, and what follows an answer.
//!
//! [`take_request`] and [`take_response`] take heads out of a buffer, [`BodyDecoder`] takes
//! the body that follows, and [`Connection`] is the client side of a connection.

mod body;
mod client;
mod head;
mod socket;

use bytes::Bytes;

pub use body::{BadBody, BodyDecoder, Part};
pub use client::{AnswerBody, BodyPart, Connection, NoAnswer, push_chunk, push_header};
pub use head::{
    Framing, HeadError, RequestHead, ResponseHead, connection_options, take_request, take_response,
    text, value,
};
pub use socket::set_keep_alive;

/// A header as a name in lower case and its bytes.
pub type Header = (String, Bytes);
