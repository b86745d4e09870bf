//! What is set in our policy; each round of tuning changes one thing here.

use cranberrygap_model::duration;
use cranberrygap_placement::forecast::{self, decayed, heat};

/// How demand is forecast.
#[derive(Debug, Clone, Copy)]
pub enum Forecast {
    /// A rate with this half-life in seconds.
    Decayed(u64),
    /// The heat formula: seconds of a period, periods, weight of the average.
    Heat(u64, usize, f64),
}

/// Settings of one version of our policy.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Its name in the result.
    pub name: &'static str,
    /// How demand is forecast.
    pub forecast: Forecast,
    /// Output tokens a second that one accelerator is planned to serve.
    pub tokens_per_accelerator: f64,
    /// Tokens a second that a runner serves less for each GiB of active weights.
    pub tokens_per_gib: f64,
    /// Part of a runner's capacity that is assigned.
    pub high: f64,
    /// Part of a model's demand that must be left over before a copy is added.
    pub margin: f64,
    /// Copies added for demand in one round.
    pub added_at_once: usize,
    /// Endpoints compared for each request.
    pub choices: usize,
    /// Part of a full batch that a cached prompt is worth.
    pub prefix_weight: f64,
    /// Whether requests gather on the endpoints that the plan prefers.
    pub gathers: bool,
    /// Part of the batch limit up to which late requests are sent.
    pub late_fill: f64,
    /// Part of the batch limit up to which urgent requests are sent.
    pub crowd: f64,
    /// Part of the batch limit up to which endpoints take what is not theirs.
    pub spill: f64,
    /// Wait after which a request counts as late, in microseconds.
    pub late_after: u64,
}

impl Tuning {
    /// What the system uses now.
    #[must_use]
    pub fn current() -> Self {
        Self {
            name: "ours",
            gathers: true,
            late_fill: 0.8,
            late_after: 250_000,
            spill: 0.7,
            ..Self::earlier()
        }
    }

    /// The routing that was measured first, with today's planner: each model
    /// over all its copies, every seat open to late requests.
    #[must_use]
    pub fn earlier() -> Self {
        Self {
            name: "earlier version",
            forecast: Forecast::Decayed(60),
            tokens_per_accelerator: 600.0,
            tokens_per_gib: 8.0,
            high: 0.8,
            margin: 0.1,
            added_at_once: 6,
            choices: 3,
            prefix_weight: 0.15,
            gathers: false,
            late_fill: 1.0,
            crowd: 3.0,
            spill: 1.0,
            late_after: 320_000,
        }
    }

    /// Changes one setting for a trial, written like `high=0.8`.
    ///
    /// # Errors
    ///
    /// An unknown setting or a value that is no number.
    pub fn set(&mut self, change: &str) -> eyre::Result<()> {
        let Some((name, value)) = change.split_once('=') else {
            eyre::bail!("{change} is not of the form name=value");
        };
        match name {
            "half_life" => self.forecast = Forecast::Decayed(value.parse()?),
            "beta" => self.forecast = Forecast::Heat(10, 12, value.parse()?),
            "tokens" => self.tokens_per_accelerator = value.parse()?,
            "gib" => self.tokens_per_gib = value.parse()?,
            "high" => self.high = value.parse()?,
            "margin" => self.margin = value.parse()?,
            "added" => self.added_at_once = value.parse()?,
            "choices" => self.choices = value.parse()?,
            "prefix" => self.prefix_weight = value.parse()?,
            "gathers" => self.gathers = value.parse()?,
            "spill" => self.spill = value.parse()?,
            "crowd" => self.crowd = value.parse()?,
            "late_fill" => self.late_fill = value.parse()?,
            "late_after" => self.late_after = value.parse()?,
            _ => eyre::bail!("unknown setting {name}"),
        }
        Ok(())
    }

    /// The estimator that the tuning names.
    #[must_use]
    pub fn estimator(&self) -> Box<dyn forecast::Estimator> {
        match self.forecast {
            Forecast::Decayed(half_life) => {
                let half_life = duration::Span::from_secs(half_life);
                Box::new(decayed::Decayed::new(half_life))
            }
            Forecast::Heat(period, periods, beta) => {
                let period = duration::Span::from_secs(period);
                Box::new(heat::Heat::new(period, periods, beta))
            }
        }
    }
}
