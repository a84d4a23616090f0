//! HTTP/1.1 message framing and client connections.
//!
//! `httparse` parses the syntax. The framing is decoded here, because a proxy must know
//! whether a body was complete, how a connection ended, and which bytes follow a response.
//!
//! [`parse_request_head`] and [`parse_response_head`] parse heads from a buffer,
//! [`BodyDecoder`] decodes the body that follows, and [`Connection`] is the client side of a
//! connection.

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

/// A header: its name in lower case and its value.
pub type Header = (String, Bytes);
