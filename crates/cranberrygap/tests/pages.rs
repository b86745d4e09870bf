//! The pages say what the program does.

use cranberrygap_entry::metric;

// An operator looks for a metric on the page and sets an alarm on it. A name that
// was changed in the program alone would never fire.
#[test]
fn every_metric_of_an_entry_is_on_the_operators_page() {
    let page = include_str!("../../../docs/OPERATIONS.md");

    for metric in metric::ALL.into_iter().chain(metric::GATEWAY) {
        let metric::Metric {
            name,
            kind,
            unit,
            meaning,
        } = metric;
        let row = format!("| `{name}` | {kind} | {unit} | {meaning} |");
        assert!(page.contains(&row), "missing on the page: {row}");
    }
}
