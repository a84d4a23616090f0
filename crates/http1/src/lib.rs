//! HTTP/1.1 framing, and client connections.
//!
//! The syntax is parsed by `httparse`. The framing is decoded here, because a relay has to
//! know whether a body was complete, how a connection ended, and what follows an answer.
//!
//! [`parse_request_head`] and [`parse_response_head`] take heads out of a buffer, [`BodyDecoder`] takes
//! the body that follows, and [`Connection`] is the client side of a connection.

mod body;
mod client;
mod head;
mod socket;

use bytes::Bytes;

pub use body::{BodyDecoder, BodyFramingError, Decoded};
pub use client::{BodyPart, Connection, ResponseBody, ResponseError, push_chunk, push_header};
pub use head::{
    Framing, HeadError, RequestHead, ResponseHead, connection_options, header_text, header_value,
    parse_request_head, parse_response_head,
};
pub use socket::set_tcp_keepalive;

/// A header as a name in lower case and its bytes.
pub type Header = (String, Bytes);
