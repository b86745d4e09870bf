//! Counters, gauges and histograms as text that scrapers read.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;

/// Upper bounds of a histogram's buckets, in milliseconds. The users' objectives of
/// 150, 300, 800 and 4,000 ms are among them.
const BOUNDS: [u64; 12] = [
    10, 25, 50, 100, 150, 300, 500, 800, 1_500, 4_000, 10_000, 30_000,
];

/// Metrics with one name and tag that are kept; more would be a mistake in a tag.
const MOST_SERIES: usize = 512;

/// Metrics as they stand.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    counters: BTreeMap<(String, String), u64>,
    gauges: BTreeMap<(String, String), u64>,
    histograms: BTreeMap<(String, String), Histogram>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BOUNDS.len()],
    count: u64,
    sum: u64,
}

impl Registry {
    /// All metrics in the text form of common scrapers.
    #[must_use]
    pub fn text(&self) -> String {
        let inner = self.lock();
        let mut text = String::new();
        for ((name, tag), count) in &inner.counters {
            line(&mut text, &format!("{name}_total"), tag, "", *count);
        }
        for ((name, tag), value) in &inner.gauges {
            line(&mut text, name, tag, "", *value);
        }
        for ((name, tag), histogram) in &inner.histograms {
            let name = format!("{name}_milliseconds");
            let mut below = 0;
            for (bound, count) in BOUNDS.iter().zip(histogram.buckets) {
                below += count;
                let bucket = format!("{name}_bucket");
                line(&mut text, &bucket, tag, &bound.to_string(), below);
            }
            let bucket = format!("{name}_bucket");
            line(&mut text, &bucket, tag, "+Inf", histogram.count);
            line(&mut text, &format!("{name}_sum"), tag, "", histogram.sum);
            line(
                &mut text,
                &format!("{name}_count"),
                tag,
                "",
                histogram.count,
            );
        }
        text
    }

    /// Takes one metric as `cadence` words it: `name:value|kind|#tag`.
    fn take(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tag = parts.next().unwrap_or_default();
        let key = (
            name.replace('.', "_"),
            tag.trim_start_matches('#').to_owned(),
        );
        let mut inner = self.lock();
        if !inner.knows(&key) && inner.series() >= MOST_SERIES {
            return None;
        }
        match kind {
            "c" => *inner.counters.entry(key).or_default() += value,
            "g" => {
                inner.gauges.insert(key, value);
            }
            "ms" => inner.histograms.entry(key).or_default().take(value),
            _ => return None,
        }
        Some(())
    }

    /// A number that a panic left half added is still a number.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn series(&self) -> usize {
        self.counters.len() + self.gauges.len() + self.histograms.len()
    }

    fn knows(&self, key: &(String, String)) -> bool {
        self.counters.contains_key(key)
            || self.gauges.contains_key(key)
            || self.histograms.contains_key(key)
    }
}

impl Histogram {
    fn take(&mut self, value: u64) {
        let bucket = BOUNDS.iter().position(|bound| value <= *bound);
        if let Some(bucket) = bucket {
            self.buckets[bucket] += 1;
        }
        self.count += 1;
        self.sum += value;
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.take(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::other("the metric cannot be kept")),
        }
    }
}

fn line(text: &mut String, name: &str, tag: &str, bound: &str, value: u64) {
    let labels = match (tag, bound) {
        ("", "") => String::new(),
        (tag, "") => format!("{{tag=\"{tag}\"}}"),
        ("", bound) => format!("{{le=\"{bound}\"}}"),
        (tag, bound) => format!("{{tag=\"{tag}\",le=\"{bound}\"}}"),
    };
    // Writing to a string does not fail.
    let _infallible = writeln!(text, "{name}{labels} {value}");
}
