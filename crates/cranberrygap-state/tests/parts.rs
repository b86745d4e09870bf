//! Parts of prompts that crash endpoints, and sound ones that stand with them.

use std::collections::BTreeSet;

use cranberrygap_model::{duration, number};
use cranberrygap_state::quarantine;
use cranberrygap_wire::{claim, view};
use smol_str::SmolStr;

const SPAN: duration::Span = duration::Span::from_secs(600);

/// Quarantines that get one report a second.
#[derive(Default)]
struct Reports {
    quarantines: quarantine::Quarantines,
    at: u64,
}

impl Reports {
    /// Applies the death of a process under subjects; `probed` ran there with a permission.
    fn crash(&mut self, boot: u64, subjects: &[&str], probed: Option<&str>) -> Vec<view::Change> {
        self.apply(boot, subjects, &[], probed)
    }

    /// Applies that subjects got a complete response.
    fn clear(&mut self, subjects: &[&str]) -> Vec<view::Change> {
        self.apply(0, &[], subjects, None)
    }

    fn apply(
        &mut self,
        boot: u64,
        subjects: &[&str],
        cleared: &[&str],
        probed: Option<&str>,
    ) -> Vec<view::Change> {
        let names = |names: &[&str]| names.iter().map(SmolStr::new).collect();
        let crash = claim::Crash {
            endpoint: "runner-1".parse().expect("a name"),
            boot: number::Boot(boot),
            instance: "entry-1".parse().expect("a name"),
            fingerprints: names(subjects),
            cleared: names(cleared),
            probed: probed.map(SmolStr::new),
        };
        self.at += 1_000;
        self.quarantines
            .apply(self.at, SPAN, &quarantine::Step { crash })
    }

    fn refused(&self) -> BTreeSet<SmolStr> {
        let active = self.quarantines.active();
        active.map(|quarantine| quarantine.fingerprint).collect()
    }

    fn on_probation(&self) -> BTreeSet<SmolStr> {
        let probations = self.quarantines.on_probation();
        probations
            .map(|quarantine| quarantine.fingerprint)
            .collect()
    }
}

fn names(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(SmolStr::new).collect()
}

// Each request is another one, so only what they share can be counted.
#[test]
fn part_of_different_requests_is_condemned_by_the_first_death_alone() {
    let mut reports = Reports::default();
    for boot in 1..=3 {
        let request = format!("request-{boot}");
        reports.crash(boot, &[&request, "part:f0", "part:bad"], None);
        reports.clear(&["part:f0"]);
    }
    assert_eq!(reports.on_probation(), names(&["part:bad"]));

    reports.crash(4, &["request-4", "part:bad"], Some("part:bad"));

    assert_eq!(reports.refused(), names(&["part:bad"]));
}

// The same request is sent again and again: its parts are of other requests, too.
#[test]
fn request_is_condemned_before_a_part_that_it_alone_held() {
    let mut reports = Reports::default();
    for boot in 1..=3 {
        reports.crash(boot, &["request", "part:sound"], None);
    }

    reports.crash(4, &["request", "part:sound"], Some("part:sound"));

    assert_eq!(reports.refused(), names(&["request"]));
    assert_eq!(reports.on_probation(), names(&["part:sound"]));
    reports.clear(&["part:sound"]);
    assert!(reports.on_probation().is_empty());
}

// A stream that is resumed beside the culprit each time has as many deaths as that.
#[test]
fn what_a_condemned_part_explains_is_released() {
    let mut reports = Reports::default();
    for boot in 1..=3 {
        let culprit = format!("culprit-{boot}");
        reports.crash(boot, &["stream", "part:rare"], None);
        reports.crash(boot, &[&culprit, "part:bad"], None);
    }
    assert_eq!(
        reports.on_probation(),
        names(&["stream", "part:bad", "part:rare"])
    );

    reports.crash(4, &["culprit-4", "part:bad"], Some("part:bad"));

    assert_eq!(reports.refused(), names(&["part:bad"]));
    assert_eq!(reports.on_probation(), names(&[]));
}

// Reports of other entries about the same death come later.
#[test]
fn death_under_a_condemned_part_accuses_nothing_else() {
    let mut reports = Reports::default();
    for boot in 1..=4 {
        let probed = (boot == 4).then_some("part:bad");
        reports.crash(boot, &["part:bad"], probed);
    }

    for boot in 1..=4 {
        reports.crash(boot, &["stream", "part:rare"], None);
    }
    for boot in 5..=8 {
        reports.crash(boot, &["culprit", "part:bad", "part:rare"], None);
    }

    assert_eq!(reports.refused(), names(&["part:bad"]));
    assert_eq!(reports.on_probation(), names(&[]));
}

// A wrong verdict must not outlive a response that disproves it.
#[test]
fn condemned_part_with_a_complete_response_is_released() {
    let mut reports = Reports::default();
    for boot in 1..=4 {
        let probed = (boot == 4).then_some("part:sound");
        reports.crash(boot, &["part:sound"], probed);
    }
    assert_eq!(reports.refused(), names(&["part:sound"]));

    let changes = reports.clear(&["part:sound"]);

    assert_eq!(reports.refused(), names(&[]));
    assert!(matches!(changes[..], [view::Change::Released { .. }]));
}

// A culprit that no other suspect stands beside explains more deaths than a rare part with it.
#[test]
fn part_with_the_most_deaths_is_condemned() {
    let mut reports = Reports::default();
    reports.crash(1, &["part:bad"], None);
    for boot in 2..=4 {
        reports.crash(boot, &["part:bad", "part:rare"], None);
    }

    reports.crash(5, &["part:bad", "part:rare"], Some("part:rare"));

    assert_eq!(reports.refused(), names(&["part:bad"]));
}

// A culprit that is tried after its time costs one endpoint, and is refused for longer.
#[test]
fn part_is_tried_alone_after_its_time_and_refused_for_longer() {
    let mut reports = Reports::default();
    for boot in 1..=4 {
        reports.crash(boot, &["part:bad"], (boot == 4).then_some("part:bad"));
    }
    let mut ends = Vec::new();
    for boot in 5..=6 {
        let active = reports.quarantines.active().next().expect("a verdict");
        ends.push(active.until - reports.at);
        reports.at = active.until;
        reports.clear(&["another"]);
        assert_eq!(reports.refused(), names(&[]));
        assert_eq!(reports.on_probation(), names(&["part:bad"]));

        reports.crash(boot, &["part:bad"], Some("part:bad"));

        assert_eq!(reports.refused(), names(&["part:bad"]));
    }

    assert_eq!(ends[1], 2 * ends[0]);
}
