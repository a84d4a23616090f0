//! Stand-in of the platform's store: the log calls that nodes use.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, response};

type Topics = HashMap<String, Vec<Vec<u8>>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Store::default();
        let listener = TcpListener::bind(addr)?;
        let served = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(io)));
            }
        });
        Ok(store)
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        changed.notify_all();
        (offset, end)
    }

    /// Writes a keyed record as the operator.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let (topics, changed) = &*self.topics;
        let mut guard = topics.lock().unwrap();
        loop {
            let log = guard.entry(topic.to_owned()).or_default();
            let now = Instant::now();
            if from < log.len() || now >= deadline {
                let mut out = (log.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0_u64.to_be_bytes());
                for record in log.iter().skip(from) {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            guard = changed.wait_timeout(guard, deadline - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let mut topics = self.topics.0.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            let item = format!(
                r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                base64(value)
            );
            newest.insert(key, item);
        }
        let items: Vec<String> = newest.into_values().collect();
        format!(
            r#"{{"items":[{}],"truncated":false,"end":{}}}"#,
            items.join(","),
            log.len()
        )
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else { return };
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let param = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
            };
            let number = |name: &str| param(name).and_then(|text| text.parse().ok()).unwrap_or(0);
            let topic = param("topic").unwrap_or_default();
            // The store takes 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let json = [("Content-Type", "application/json")];
            let reply = match (head.method(), path) {
                ("POST", "/-/log-append") => {
                    let (offset, end) = self.append(topic, split_records(&body));
                    let text = format!(r#"{{"offset":{offset},"end":{end}}}"#);
                    response("200 OK", &json, text.as_bytes())
                }
                ("GET", "/-/log-read") => {
                    let wait = Duration::from_millis(number("waitMs") as u64);
                    response("200 OK", &[], &self.read(topic, number("from"), wait))
                }
                ("GET", "/-/log-newest") => {
                    response("200 OK", &json, self.newest(topic).as_bytes())
                }
                _ => response("404 Not Found", &[], b""),
            };
            if conn.write(&reply).is_err() {
                return;
            }
        }
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let (length, rest) = body.split_at(4);
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let (record, rest) = rest.split_at(length.min(rest.len()));
        records.push(record.to_vec());
        body = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(*chunk.get(i).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
