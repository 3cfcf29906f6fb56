//! Core: the levels of the ranks of a service.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::Rank;
use crate::id::ServiceId;
use crate::view::View;

/// Maximum number of levels of a service; with more ranks, neighbours share a level. The load limits of more levels
/// would differ by less than one request at an upstream with a few slots.
const MAX_LEVELS: usize = 8;
/// Load limit of the lowest level, in requests in flight per slot: the one that less urgent routes have without ranks.
const LOWEST_LOAD: f32 = 1.6;
/// Share of the retry budget that the lowest level may use: the one that less urgent routes have without ranks.
const LOWEST_RETRY_SHARE: f64 = 0.9;

/// Level of a rank among those of its service; position 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level {
    position: usize,
    last: usize,
}

impl Level {
    /// The only level of a service whose requests all have one rank.
    pub const ONLY: Self = Self { position: 0, last: 0 };

    /// The level at a position, where `last` is the position of the lowest.
    pub fn new(position: usize, last: usize) -> Self {
        Self {
            position: position.min(last),
            last,
        }
    }

    /// Load, in requests in flight per slot, at which an upstream is full for this level; `highest` is that of the
    /// highest level.
    pub fn load_limit(self, highest: f32) -> f32 {
        let lowest = LOWEST_LOAD.min(highest);
        highest - (highest - lowest) * self.depth() as f32
    }

    /// Share of the retry budget that this level may use.
    pub fn retry_share(self) -> f64 {
        1.0 - (1.0 - LOWEST_RETRY_SHARE) * self.depth()
    }

    /// 0 at the highest level, 1 at the lowest, in even steps.
    fn depth(self) -> f64 {
        match self.last {
            0 => 0.0,
            last => self.position as f64 / last as f64,
        }
    }
}

/// The ranks that the requests of each service can have.
#[derive(Debug, Default)]
pub struct RankTable {
    services: HashMap<ServiceId, Vec<Rank>>,
}

impl RankTable {
    /// The ranks in a configuration: the priorities of a service's routes, and of all customers that have one, which
    /// may call any service.
    pub fn new(view: &View) -> Self {
        let of_customers: BTreeSet<Rank> = view.customers.values().filter_map(|c| c.priority).collect();
        let mut services: HashMap<ServiceId, BTreeSet<Rank>> = HashMap::new();
        for route in &view.routes {
            for service in route.services() {
                services
                    .entry(service.clone())
                    .or_default()
                    .insert(route.priority);
            }
        }
        let services = services.into_iter().map(|(service, mut ranks)| {
            ranks.extend(&of_customers);
            (service, ranks.into_iter().collect())
        });
        Self {
            services: services.collect(),
        }
    }

    /// The level of a rank among those of a service; a rank that the configuration lacks counts as the next lower.
    pub fn level(&self, service: &ServiceId, rank: Rank) -> Level {
        let Some(ranks) = self.services.get(service) else {
            return Level::ONLY;
        };
        let position = ranks.partition_point(|r| *r < rank);
        match ranks.len() {
            count if count <= MAX_LEVELS => Level::new(position, count.saturating_sub(1)),
            count => Level::new(position * MAX_LEVELS / count, MAX_LEVELS - 1),
        }
    }
}
