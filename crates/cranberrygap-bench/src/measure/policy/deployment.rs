//! The two deployments of today, at their sizes.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Sizes of one deployment. Times are microseconds, memory is MiB.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Model runners, divided evenly over the failure domains.
    pub runners: usize,
    /// Accelerators of each runner.
    pub accelerators: u32,
    /// Accelerator memory of each runner.
    pub memory: u64,
    /// Base models.
    pub models: usize,
    /// Adapters, each on one base model.
    pub adapters: usize,
    /// Entries, each with its own routing state.
    pub entries: usize,
    /// Shares of the workspaces in the demand and the rates.
    pub workspaces: &'static [f64],
    /// Loads that the store can start each second.
    pub loads_per_second: f64,
    /// Loads at once at the store's full speed.
    pub loads_at_once: usize,
    /// Mean requests a second over all workspaces.
    pub requests_per_second: f64,
    /// Time from an entry to an endpoint and back.
    pub round_trip: u64,
    /// Time from first dispatch until a caller gives up.
    pub deadline: u64,
}

/// Base models and adapters are items; the adapters follow the models.
#[derive(Debug, Clone, Copy)]
pub struct Item {
    /// Size in MiB.
    pub size: u64,
    /// Number of the base model; its own number for a base model.
    pub base: usize,
}

/// Sizes of base models in GiB, each as likely as it is often listed.
const SIZES: [u64; 10] = [14, 14, 14, 14, 28, 28, 28, 65, 65, 130];

const MIB_IN_GIB: u64 = 1024;

/// Size of an adapter in MiB.
const ADAPTER: u64 = 512;

impl Deployment {
    /// Fjordtall: three failure domains close together, many models.
    #[must_use]
    pub fn fjordtall() -> Self {
        Self {
            name: "fjordtall",
            domains: 3,
            runners: 18,
            accelerators: 4,
            memory: 320 * MIB_IN_GIB,
            models: 40,
            adapters: 100,
            entries: 7,
            workspaces: &[0.34, 0.28, 0.2, 0.12, 0.06],
            loads_per_second: 3.0,
            loads_at_once: 11,
            requests_per_second: 140.0,
            round_trip: 1_200,
            deadline: 60_000_000,
        }
    }

    /// Rinkshare: rival workspaces of more equal size, callers further away.
    #[must_use]
    pub fn rinkshare() -> Self {
        Self {
            name: "rinkshare",
            models: 30,
            adapters: 115,
            workspaces: &[0.3, 0.27, 0.2, 0.13, 0.1],
            loads_per_second: 2.5,
            round_trip: 600,
            ..Self::fjordtall()
        }
    }

    /// The failure domain of a runner.
    #[must_use]
    pub fn domain(&self, runner: usize) -> usize {
        runner % self.domains
    }

    /// Draws the sizes of the models and the bases of the adapters.
    pub fn items(&self, rng: &mut ChaCha8Rng) -> Vec<Item> {
        let mut items = Vec::with_capacity(self.models + self.adapters);
        for base in 0..self.models {
            let size = SIZES[rng.random_range(0..SIZES.len())] * MIB_IN_GIB;
            items.push(Item { size, base });
        }
        for _adapter in 0..self.adapters {
            let base = rng.random_range(0..self.models);
            items.push(Item {
                size: ADAPTER,
                base,
            });
        }
        items
    }
}
