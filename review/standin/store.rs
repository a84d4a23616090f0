//! The platform's metadata store: keyed topics with one partition.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Message, response};

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Vec<u8>>>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let store = Store {
            addr: listener.local_addr().expect("an address"),
            topics: Arc::default(),
        };
        let served = store.clone();
        http::serve(listener, move |io| served.serve_conn(io));
        store
    }

    /// Appends a record with a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no panic");
        let kept = topics.records.entry(topic.to_owned()).or_default();
        let offset = kept.len();
        kept.extend(records);
        let end = kept.len();
        changed.notify_all();
        (offset, end)
    }

    fn serve_conn(&self, mut io: TcpStream) {
        let _ = io.set_nodelay(true);
        while let Ok(Some(req)) = http::read_message(&mut io) {
            // The store takes 4 ms for an answer.
            std::thread::sleep(Duration::from_millis(4));
            if io.write_all(&self.answer(&req)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        let json = "Content-Type: application/json\r\n";
        let topic = req.query("topic").unwrap_or_default();
        match req.path() {
            "/-/log-append" => {
                let (offset, end) = self.append(topic, split_records(&req.body));
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                response("200 OK", json, body.as_bytes())
            }
            "/-/log-newest" => response("200 OK", json, self.newest(topic).as_bytes()),
            "/-/log-read" => {
                let number = |name| req.query(name).and_then(|value| value.parse().ok());
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                let body = self.read(topic, from, wait);
                response(
                    "200 OK",
                    "Content-Type: application/octet-stream\r\n",
                    &body,
                )
            }
            _ => response("404 Not Found", "", b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().expect("no panic");
        let records = topics
            .records
            .get(topic)
            .map_or(&[][..], |records| &records[..]);
        let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}",
            items.join(",")
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no panic");
        loop {
            let records = topics
                .records
                .get(topic)
                .map_or(&[][..], |records| &records[..]);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            topics = changed.wait_timeout(topics, left).expect("no panic").0;
        }
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            match i <= group.len() {
                true => out.push(char::from(ALPHABET[(word >> (18 - 6 * i)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}
