//! Metrics served as text.

use std::time::Duration;

use cadence::{Counted as _, Gauged as _, StatsdClient, Timed as _};
use cranberrygap::daemon::scrape;

#[test]
fn counters_gauges_and_histograms_are_told_apart() {
    let registry = scrape::Registry::default();
    let client = StatsdClient::from_sink("cranberrygap.entry", registry.clone());

    client
        .count_with_tags("requests", 2)
        .with_tag_value("200")
        .send();
    client
        .count_with_tags("requests", 1)
        .with_tag_value("200")
        .send();
    client.gauge("leads", 1_u64).expect("kept");
    client
        .time("first_event", Duration::from_millis(90))
        .expect("kept");
    client
        .time("first_event", Duration::from_millis(700))
        .expect("kept");

    let text = registry.text();
    assert!(text.contains("cranberrygap_entry_requests_total{tag=\"200\"} 3\n"));
    assert!(text.contains("cranberrygap_entry_leads 1\n"));
    assert!(text.contains("first_event_milliseconds_bucket{le=\"100\"} 1\n"));
    assert!(text.contains("first_event_milliseconds_bucket{le=\"800\"} 2\n"));
    assert!(text.contains("first_event_milliseconds_count 2\n"));
    assert!(text.contains("first_event_milliseconds_sum 790\n"));
}

// A tag is made of something that callers choose. Without a bound each of their values
// would take memory for ever.
#[test]
fn number_of_series_is_bounded() {
    let registry = scrape::Registry::default();
    let client = StatsdClient::from_sink("p", registry.clone());

    for number in 0..2_000 {
        let tag = number.to_string();
        client
            .count_with_tags("requests", 1)
            .with_tag_value(&tag)
            .send();
    }

    client
        .count_with_tags("requests", 1)
        .with_tag_value("7")
        .send();
    let text = registry.text();
    assert!(text.lines().count() <= 512);
    assert!(
        text.contains("{tag=\"7\"} 2\n"),
        "a known series is still counted"
    );
}
