//! Configuration: memory and bytes of records, CPU time of a change and of a lookup.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use zinnialoom::catalog::Catalog;
use zinnialoom::catalog::change::Change;
use zinnialoom::catalog::change::JoinSecret;
use zinnialoom::catalog::change::Op;
use zinnialoom::catalog::change::RouteSpec;
use zinnialoom::secret;
use zinnialoom::view::Limit;
use zinnialoom::view::View;

use super::cpu_micros_each;
use super::print_row;
use super::resident_bytes;

/// Numbers of customers; the difference of two measurements gives the cost per customer.
const SMALL: usize = 2_000;
const LARGE: usize = 12_000;
/// Numbers of routes.
const ROUTES: [usize; 2] = [1_000, 22_000];

/// Fills a catalog with records.
struct Builder {
    catalog: Catalog,
    index: u64,
}

impl Builder {
    fn new() -> Self {
        let mut builder = Self {
            catalog: Catalog::new(),
            index: 0,
        };
        builder.apply(Op::ServiceSet {
            id: "forecast".into(),
            floor: 60,
            join: JoinSecret::Given(digest("join")),
        });
        builder
    }

    fn apply(&mut self, op: Op) {
        self.index += 1;
        let change = Change {
            id: format!("change-{}", self.index).into(),
            expect: 0,
            op,
        };
        let outcome = self.catalog.apply_change(self.index, &change);
        assert!(outcome.fault.is_none(), "{:?}", outcome.fault);
    }

    /// Adds a customer with one key.
    fn add_customer(&mut self, n: usize) {
        let id = smol_str::format_smolstr!("customer-{n:06}");
        self.apply(Op::CustomerSet {
            id: id.clone(),
            limit: Limit { rate: 10, burst: 20 },
        });
        let key = smol_str::format_smolstr!("key-{n:06}");
        self.apply(Op::KeyIssue {
            id: key.clone(),
            customer: id,
            digest: digest(&key),
        });
    }

    fn add_route(&mut self, n: usize) {
        self.apply(Op::RouteSet(RouteSpec {
            id: smol_str::format_smolstr!("route-{n:05}"),
            prefix: smol_str::format_smolstr!("/part-{n:05}/ages"),
            service: "forecast".into(),
            open: false,
            idempotent: false,
            require_id: false,
            limit_ms: 0,
        }));
    }
}

fn digest(text: &str) -> smol_str::SmolStr {
    secret::digest(text)
}

pub(crate) fn measure() {
    let mut builder = Builder::new();
    (0..SMALL).for_each(|n| builder.add_customer(n));
    let (before, view_before) = (resident_bytes(), copy_view(&builder.catalog.view()));
    let snapshot_before = snapshot_bytes(&builder.catalog);
    // Adding a customer with its key takes two changes.
    let small = cpu_micros_each(100, |n| builder.add_customer(1_000_000 + n)) / 2.0;
    (SMALL..LARGE).for_each(|n| builder.add_customer(n));
    let large = cpu_micros_each(100, |n| builder.add_customer(2_000_000 + n)) / 2.0;
    let added = (LARGE - SMALL) as f64;
    drop(view_before);
    print_row(
        "memory of a control replica, customer with one key",
        (resident_bytes() - before) / added,
        "bytes",
    );
    let snapshot = (snapshot_bytes(&builder.catalog) - snapshot_before) / added;
    print_row("snapshot, customer with one key", snapshot, "bytes");
    print_row(
        "apply one change, CPU time without customers (intercept)",
        small - proportional_part(small, large),
        "us",
    );
    print_row(
        "apply one change, added CPU time per 1,000 customers",
        (large - small) / added * 1e3,
        "us",
    );
    measure_view(&builder.catalog.view());
    let changes = builder
        .catalog
        .deltas_after(builder.index - 1_000)
        .unwrap_or_default();
    let bytes = serde_json::to_vec(&changes).unwrap_or_default().len();
    print_row(
        "feed, one change",
        bytes as f64 / changes.len().max(1) as f64,
        "bytes",
    );
    measure_routes();
}

/// The part of the time at `SMALL` customers that is proportional to their number.
fn proportional_part(small: f64, large: f64) -> f64 {
    (large - small) * SMALL as f64 / (LARGE - SMALL) as f64
}

fn snapshot_bytes(catalog: &Catalog) -> f64 {
    serde_json::to_vec(&catalog.view().customers).map_or(0, |v| v.len()) as f64
        + serde_json::to_vec(&catalog.view().keys).map_or(0, |v| v.len()) as f64
}

fn copy_view(view: &Arc<View>) -> View {
    View::clone(view)
}

fn measure_view(view: &Arc<View>) {
    let before = resident_bytes();
    let start = Instant::now();
    let copies: Vec<View> = (0..4).map(|_| copy_view(view)).collect();
    let time = start.elapsed() / 4;
    let customers = copies.iter().map(|v| v.customers.len()).sum::<usize>() as f64;
    print_row(
        "memory of an entry VM, customer with one key",
        (resident_bytes() - before) / customers,
        "bytes",
    );
    print_row(
        "copy of a view, per 1,000 customers",
        micros(time) / view.customers.len() as f64 * 1e3,
        "us",
    );
    let keys: Vec<_> = view.keys.keys().take(1_000).cloned().collect();
    let lookup = cpu_micros_each(200_000, |n| {
        black_box(view.keys.get(&keys[n % keys.len()]));
    });
    print_row("key lookup", lookup, "us");
    let hash = cpu_micros_each(20_000, |n| {
        black_box(secret::digest(&format!(
            "zk.key-{n}.0123456789abcdef0123456789abcdef0123456789abcdef"
        )));
    });
    print_row("digest of a key", hash, "us");
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn measure_routes() {
    let mut builder = Builder::new();
    let mut built = 0;
    for count in ROUTES {
        let before = resident_bytes();
        (built..count).for_each(|n| builder.add_route(n));
        let view = builder.catalog.view();
        if count > ROUTES[0] {
            print_row(
                "memory of a control replica, route",
                (resident_bytes() - before) / (count - built) as f64,
                "bytes",
            );
        }
        built = count;
        let time = cpu_micros_each(200_000, |n| {
            let path = format!("/part-{:05}/ages/1960", n * 7 % count);
            black_box(view.route(&path));
        });
        print_row(&format!("route lookup among {count} routes"), time, "us");
    }
}
