use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use zinnialoom::catalog::Catalog;
use zinnialoom::catalog::change::Change;
use zinnialoom::catalog::change::JoinSecret;
use zinnialoom::catalog::change::Op;
use zinnialoom::catalog::change::Outcome;
use zinnialoom::catalog::delta::Edit;
use zinnialoom::catalog::edition::CustomerKeys;
use zinnialoom::catalog::edition::Edition;
use zinnialoom::code::Code;
use zinnialoom::fleet::link;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::Frame;
use zinnialoom::fleet::message::ZERO_EDITION_REVISION;
use zinnialoom::replication::StateMachine;
use zinnialoom::view::Customer;
use zinnialoom::view::Limit;
use zinnialoom::view::Route;
use zinnialoom::view::ServiceRecord;
use zinnialoom::view::Warmup;
use zinnialoom::view::WeightedService;

use crate::control_vm::control;
use crate::ports::free_address;
use crate::quarantine::wait_until;

/// Limit for an election and a change, many times what they take.
const LIMIT: Duration = Duration::from_secs(20);

fn service(id: &str) -> ServiceRecord {
    ServiceRecord {
        id: id.into(),
        ..ServiceRecord::default()
    }
}

fn route(id: &str, prefix: &str) -> Route {
    Route {
        id: id.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        service: "forecast".into(),
        attempts: 2,
        limit_ms: 2_000,
        ..Route::default()
    }
}

fn customer_keys(id: &str, digests: &[&str]) -> CustomerKeys {
    CustomerKeys {
        customer: Customer {
            id: id.into(),
            limit: Limit { rate: 60, burst: 60 },
            ..Customer::default()
        },
        digests: digests.iter().map(|d| (*d).into()).collect(),
    }
}

fn edition(number: u64) -> Edition {
    Edition {
        number,
        source: format!("source of {number}"),
        customers: vec![
            customer_keys("soum", &["d1", "d2"]),
            customer_keys("ministry", &["d3"]),
        ],
        routes: vec![route("r1", "/a"), route("r2", "/a/b")],
        services: vec![service("forecast"), service("cohort")],
        ..Edition::default()
    }
}

fn replace(catalog: &mut Catalog, index: u64, edition: Edition) -> Outcome {
    let change = Change {
        id: Default::default(),
        expect: 0,
        op: Op::Replace(Arc::new(edition)),
    };
    catalog.apply_change(index, &change)
}

fn depart(catalog: &mut Catalog, index: u64, run_start: u64) {
    let op = Op::Depart {
        upstream: "u1".into(),
        born: run_start,
    };
    let change = Change {
        id: Default::default(),
        expect: 0,
        op,
    };
    catalog.apply_change(index, &change);
}

/// Guards against an older configuration, or other content under the number in force, taking effect.
#[test]
fn only_a_higher_number_replaces_the_edition() {
    let mut catalog = Catalog::new();
    assert_eq!(replace(&mut catalog, 1, edition(7)).fault, None);
    let other = Edition {
        routes: vec![route("r9", "/z")],
        source: "other".into(),
        ..edition(7)
    };
    let older = Edition {
        number: 6,
        ..other.clone()
    };
    for (index, ignored) in [(2, other), (3, older)] {
        let outcome = replace(&mut catalog, index, ignored);
        assert_eq!((outcome.fault, outcome.version), (None, 1));
        assert_eq!(catalog.edition().unwrap().source, "source of 7");
        assert!(catalog.view().find_route("h.example", "/z").is_none());
    }
}

/// Guards against a first configuration with the number 0 that is acknowledged and dropped, and against other content
/// that replaces it under the same number.
#[async_std::test]
async fn a_first_edition_may_have_the_number_0() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let process = control(address, folder.path(), true).await;
    let server = process.server();
    let older = Frame::Heartbeat {
        is_fresh: true,
        version: 0,
        revision: ZERO_EDITION_REVISION - 1,
    };
    let (link, _reader) = link::connect(address).await.unwrap();
    let (vm, domain) = ("127.0.0.1:1".into(), "a".into());
    link.send(&Frame::Control(ControlVm { vm, domain }));
    link.send(&older);
    wait_until(|| server.connected_controls() == 1, "the older VM").await;
    let refused = server.replace_edition(edition(0)).await.unwrap_err();
    assert_eq!(refused.code, Code::MixedBuilds);
    assert_eq!(server.edition().await.unwrap(), None);
    link.close();
    wait_until(|| server.connected_controls() == 0, "its end").await;

    let other = Edition {
        source: "other".into(),
        ..edition(0)
    };
    for sent in [edition(0), other] {
        server.replace_edition(sent).await.unwrap();
        assert_eq!(server.edition().await.unwrap().unwrap().source, "source of 0");
    }
    process.stop().await;
    drop(process);
    let process = control(address, folder.path(), false).await;
    let end = Instant::now() + LIMIT;
    while let Err(e) = process.server().replace_edition(edition(1)).await {
        assert!(Instant::now() < end, "{e}");
    }
    let held = process.server().edition().await.unwrap().unwrap();
    assert_eq!(held.source, "source of 1");
    process.stop().await;
}

/// Guards against sending the whole configuration to each VM when one record changed.
#[test]
fn a_replacement_edits_only_what_differs() {
    let mut catalog = Catalog::new();
    replace(&mut catalog, 1, edition(7));
    let mut next = edition(8);
    next.routes[1].limit_ms = 500;
    next.customers[0].digests.pop();
    replace(&mut catalog, 2, next);
    let changes = catalog.deltas_after(1).unwrap();
    let edits = &changes[0].edits;
    assert_eq!(edits.len(), 3, "{edits:?}");
    assert!(matches!(&edits[0], Edit::KeyGone(d) if d == "d2"));
    assert!(matches!(&edits[1], Edit::Route(r) if r.id == "r2"));
    assert!(!catalog.view().keys.contains_key("d2"));
    assert_eq!(catalog.view().edition, 8);
}

/// Guards against a snapshot that leaves out the configuration or a departed upstream.
#[test]
fn a_snapshot_keeps_edition_and_departed() {
    let mut catalog = Catalog::new();
    replace(&mut catalog, 1, edition(7));
    depart(&mut catalog, 2, 5);
    depart(&mut catalog, 3, 5);
    assert_eq!(catalog.view().version, 2);
    let mut copy = Catalog::new();
    copy.restore(&catalog.snapshot()).unwrap();
    assert!(copy == catalog);
    assert_eq!(copy.edition(), catalog.edition());
    assert_eq!(copy.view().departed.len(), 1);
}

/// Guards against accepting a configuration that is inconsistent or has values out of range.
#[test]
fn inconsistent_editions_are_refused() {
    let edition_with = |f: fn(&mut Edition)| {
        let mut edition = edition(7);
        f(&mut edition);
        edition
    };
    let invalid = [
        edition_with(|e| e.routes[0].service = "nowhere".into()),
        edition_with(|e| {
            let service = "nowhere".into();
            e.routes[0].split = vec![WeightedService { service, weight: 1 }];
        }),
        edition_with(|e| {
            let service = "cohort".into();
            e.routes[0].split = vec![WeightedService { service, weight: 0 }];
        }),
        edition_with(|e| e.routes[0].limit_ms = 0),
        edition_with(|e| e.routes[0].limit_ms = 600_001),
        edition_with(|e| e.routes[0].attempts = 0),
        edition_with(|e| e.customers[1].digests.push("d1".into())),
        edition_with(|e| e.routes[1].prefix = "/a".into()),
    ];
    for edition in invalid {
        assert!(edition.check().is_err(), "{edition:?}");
        let mut catalog = Catalog::new();
        assert!(replace(&mut catalog, 1, edition).fault.is_some());
        assert!(catalog.edition().is_none());
    }
    assert!(edition(7).check().is_ok());
}

/// Guards against choosing a route of another host, or one with a shorter prefix.
#[test]
fn routes_belong_to_hosts() {
    let mut catalog = Catalog::new();
    let mut next = edition(7);
    next.routes.push(Route {
        host: "other.example".into(),
        ..route("r3", "/a/b")
    });
    replace(&mut catalog, 1, next);
    let view = catalog.view();
    let id = |host, path| view.find_route(host, path).map(|r| r.id.to_string());
    assert_eq!(id("h.example", "/a/b/c").as_deref(), Some("r2"));
    assert_eq!(id("h.example", "/a/x").as_deref(), Some("r1"));
    assert_eq!(id("other.example", "/a/b/c").as_deref(), Some("r3"));
    assert_eq!(id("other.example", "/a/x"), None);
    assert_eq!(id("third.example", "/a"), None);
}

/// Guards against a new edition that removes the join secret of a service that it keeps, and against a
/// reduced limit or a removed key that is not marked as a security change: no acknowledgement of the other
/// VMs would be awaited.
#[test]
fn a_service_that_stays_keeps_its_join_secret() {
    let mut catalog = Catalog::default();
    let join = Op::ServiceSet {
        id: "forecast".into(),
        floor: 6,
        join: JoinSecret::Given("f".repeat(64).into()),
    };
    let change = Change {
        id: "c1".into(),
        expect: 0,
        op: join,
    };
    catalog.apply(1, &serde_json::to_vec(&change).unwrap());
    assert!(!replace(&mut catalog, 2, edition(1)).security);
    assert_eq!(catalog.view().services["forecast"].join_digest, "f".repeat(64));
    let mut lowered = edition(2);
    lowered.customers[0].customer.limit.rate -= 1;
    assert!(replace(&mut catalog, 3, lowered).security);
    let mut withdrawn = edition(3);
    withdrawn.customers[0].digests.pop();
    assert!(replace(&mut catalog, 4, withdrawn).security);
}

/// Guards against control VMs whose memory is filled by the deltas of large configurations.
#[test]
fn deltas_of_large_editions_are_dropped_by_their_size() {
    let large = |number: u64| Edition {
        routes: (0..3_000)
            .map(|n| Route {
                limit_ms: 1_000 + number,
                ..route(&format!("r{n}"), &format!("/{n}"))
            })
            .collect(),
        ..edition(number)
    };
    let mut catalog = Catalog::new();
    for number in 1..=8 {
        assert_eq!(replace(&mut catalog, number, large(number)).fault, None);
    }
    let held = |after| catalog.deltas_after(after).map(|deltas| deltas.len());
    assert_eq!(held(7), Some(1));
    assert_eq!(held(5), Some(3));
    assert_eq!(held(1), None);
}

/// Guards against a snapshot that a control VM of an older build cannot read, and against one that loses an evacuation
/// or the limit on cold upstreams.
#[test]
fn a_snapshot_holds_evacuations_but_no_edit_that_older_builds_lack() {
    let mut catalog = Catalog::new();
    let limited = Edition {
        warmups: [(
            "forecast".into(),
            Warmup {
                per_1000_s: 5_800,
                length_ms: 3_000,
            },
        )]
        .into(),
        ..edition(1)
    };
    replace(&mut catalog, 1, limited);
    let evacuate = Change {
        id: Default::default(),
        expect: 0,
        op: Op::Evacuate { domain: "a".into() },
    };
    catalog.apply_change(2, &evacuate);
    depart(&mut catalog, 3, 5);
    let text = String::from_utf8(catalog.snapshot()).unwrap();
    let tail: serde_json::Value = serde_json::from_str::<serde_json::Value>(&text).unwrap()["tail"].take();
    assert_eq!(tail.as_array().unwrap().len(), 1, "{tail}");
    let mut restored = Catalog::new();
    restored.restore(text.as_bytes()).unwrap();
    assert_eq!(restored.view(), catalog.view());
    assert!(restored.view().is_evacuated("a"));
    assert_eq!(restored.view().warmups["forecast"].per_second(), 5.8);
    assert_eq!(restored.deltas_after(1), None);
    assert_eq!(restored.deltas_after(2).unwrap().len(), 1);
}
