//! Both estimators with steady demand and with demand that stops.

use cranberrygap_model::{duration, id};
use cranberrygap_placement::forecast::{self, decayed, heat};

mod fixture;

use fixture::{name, seconds};

fn estimators() -> Vec<Box<dyn forecast::Estimator>> {
    let decayed = decayed::Decayed::new(duration::Span::from_secs(20));
    let heat = heat::Heat::new(duration::Span::from_secs(5), 12, 0.3);
    vec![Box::new(decayed), Box::new(heat)]
}

#[test]
fn steady_demand_is_estimated_as_its_rate() {
    for mut estimator in estimators() {
        let model: id::Model = name("m");
        for second in 0..300 {
            estimator.count(seconds(second), &model, 4.0);
        }

        let rate = estimator.rates(seconds(300))[&model];

        assert!((3.8..=4.2).contains(&rate), "{rate} by {estimator:?}");
    }
}

#[test]
fn ended_demand_fades() {
    for mut estimator in estimators() {
        let model: id::Model = name("m");
        for second in 0..100 {
            estimator.count(seconds(second), &model, 4.0);
        }

        let rate = estimator.rates(seconds(240))[&model];

        assert!(rate < 0.1, "{rate} by {estimator:?}");
    }
}
