//! The pages say what the program does.

use cranberrygap_control::metric as control;
use cranberrygap_entry::metric as entry;
use cranberrygap_trace::metric::Metric;

// An operator looks for a metric on the page and sets an alarm on it. A name that
// was changed in the program alone would never fire.
#[test]
fn every_metric_is_on_the_operators_page() {
    let page = include_str!("../../../docs/OPERATIONS.md");

    let entry = entry::ALL.into_iter().chain(entry::GATEWAY);
    for metric in entry.chain(control::ALL) {
        let Metric {
            name,
            kind,
            unit,
            meaning,
        } = metric;
        let row = format!("| `{name}` | {kind} | {unit} | {meaning} |");
        assert!(page.contains(&row), "missing on the page: {row}");
    }
}
