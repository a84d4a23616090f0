//! Counters and histograms of the node.
//!
//! `cadence` formats counters and gauges. The sink aggregates them in memory for the admin
//! listener, and forwards them to a StatsD server if one is configured.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricSink, StatsdClient};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Prefix of all metric names.
const PREFIX: &str = "plantainpost";

/// Longest recorded latency, in microseconds: the longest deadline of a request.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Current values of the counters and gauges, by name without [`PREFIX`].
#[derive(Default)]
struct Totals {
    values: BTreeMap<String, i64>,
}

impl Totals {
    /// Applies a metric in StatsD format, `name:value|type`.
    fn apply(&mut self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else {
            return;
        };
        let Some((value, kind)) = rest.split_once('|') else {
            return;
        };
        let Ok(value) = value.parse::<i64>() else {
            return;
        };
        let name = name.trim_start_matches(PREFIX).trim_start_matches('.');
        match self.values.get_mut(name) {
            Some(total) if kind == "c" => *total += value,
            Some(total) => *total = value,
            None => {
                self.values.insert(name.to_owned(), value);
            }
        }
    }
}

struct TotalsSink {
    totals: Arc<Mutex<Totals>>,
    statsd: Option<BufferedUdpMetricSink>,
}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Ok(mut totals) = self.totals.lock() {
            totals.apply(metric);
        }
        match &self.statsd {
            Some(sink) => sink.emit(metric),
            None => Ok(metric.len()),
        }
    }

    fn flush(&self) -> io::Result<()> {
        self.statsd.as_ref().map_or(Ok(()), MetricSink::flush)
    }
}

/// Quantiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Quantiles {
    count: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

impl Quantiles {
    fn from_histogram(h: &Histogram<u64>) -> Self {
        Quantiles {
            count: h.len(),
            p50_us: h.value_at_quantile(0.50),
            p90_us: h.value_at_quantile(0.90),
            p99_us: h.value_at_quantile(0.99),
            p999_us: h.value_at_quantile(0.999),
            max_us: h.max(),
        }
    }
}

impl Quantiles {
    /// Returns each value with its Prometheus label.
    pub(crate) fn with_labels(&self) -> [(&'static str, u64); 6] {
        [
            ("stat=\"count\"", self.count),
            ("quantile=\"0.5\"", self.p50_us),
            ("quantile=\"0.9\"", self.p90_us),
            ("quantile=\"0.99\"", self.p99_us),
            ("quantile=\"0.999\"", self.p999_us),
            ("quantile=\"1\"", self.max_us),
        ]
    }
}

/// Metrics of the node.
pub(crate) struct Metrics {
    client: StatsdClient,
    totals: Arc<Mutex<Totals>>,
    histograms: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Creates the metrics. They are also sent to `statsd` if it is set.
    ///
    /// # Errors
    ///
    /// Fails if the socket for StatsD can't be opened.
    pub(crate) fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Mutex::new(Totals::default()));
        let statsd = statsd.map(Self::statsd_sink).transpose()?;
        let sink = TotalsSink {
            totals: Arc::clone(&totals),
            statsd,
        };
        Ok(Metrics {
            client: StatsdClient::from_sink(PREFIX, sink),
            totals,
            histograms: Mutex::default(),
        })
    }

    fn statsd_sink(addr: SocketAddr) -> io::Result<BufferedUdpMetricSink> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub(crate) fn add(&self, name: &str, value: i64) {
        // A metric that can't be sent must not fail a request.
        let _ = self.client.count(name, value);
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a latency in microseconds.
    pub(crate) fn latency(&self, name: &'static str, micros: u64) {
        let Ok(mut histograms) = self.histograms.lock() else {
            return;
        };
        let h = histograms.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid")
        });
        h.saturating_record(micros.max(1));
    }

    /// Returns the value of a counter or gauge, or zero if it was never set.
    pub(crate) fn total(&self, name: &str) -> i64 {
        let totals = self.totals.lock();
        totals.map_or(0, |t| t.values.get(name).copied().unwrap_or(0))
    }

    /// Returns all counters and gauges.
    pub(crate) fn totals(&self) -> BTreeMap<String, i64> {
        let totals = self.totals.lock();
        totals.map(|t| t.values.clone()).unwrap_or_default()
    }

    /// Returns the quantiles of all latencies.
    pub(crate) fn quantiles(&self) -> BTreeMap<&'static str, Quantiles> {
        let Ok(histograms) = self.histograms.lock() else {
            return BTreeMap::new();
        };
        histograms
            .iter()
            .map(|(name, h)| (*name, Quantiles::from_histogram(h)))
            .collect()
    }

    /// Sends the buffered metrics to the StatsD server.
    pub(crate) fn flush(&self) {
        let _ = self.client.flush();
    }
}
