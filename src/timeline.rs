//! Merges the events of many processes into one time line and selects those that explain a failure.

use std::fmt::Write as _;

use crate::clock;
use crate::code::Code;
use crate::event::Event;
use crate::event::Kind;

/// Sorts by logical time and removes events that were read twice.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.vm, a.number).cmp(&(b.stamp, &b.vm, b.number)));
    events.dedup_by(|a, b| a.stamp == b.stamp && a.vm == b.vm && a.number == b.number);
    events
}

/// Formats an event as one line; times are milliseconds after the given start.
pub fn format_line(event: &Event, start_ms: u64) -> String {
    let about = &event.about;
    let millis = clock::millis(event.stamp).saturating_sub(start_ms);
    let mut text = format!(
        "{millis:>8} ms  {:<12} {:<8} {:<16}",
        event.vm, event.domain, event.kind
    );
    for (name, value) in [
        ("request", &about.request),
        ("customer", &about.customer),
        ("service", &about.service),
        ("upstream", &about.upstream),
    ] {
        if !value.is_empty() {
            let _ = write!(text, " {name}={value}");
        }
    }
    if let Some(code) = Code::from_number(about.code).filter(|c| *c != Code::Ok) {
        let _ = write!(text, " code={} {code}", code.number());
    }
    if !about.detail.is_empty() {
        let _ = write!(text, " {}", about.detail);
    }
    text.trim_end().into()
}

/// Why a request was refused or failed: its events up to its last failure, with the earlier changes of its
/// VM, customer and service.
pub fn explain_request<'a>(events: &'a [Event], request: &str) -> Vec<&'a Event> {
    let is_failure = |e: &&Event| e.kind == Kind::RequestFailed && e.about.request == request;
    let Some(failure) = events.iter().rev().find(is_failure) else {
        return Vec::new();
    };
    let is_cause = |e: &&Event| {
        let same_vm = e.vm == failure.vm && is_vm_state(e.kind);
        let same_customer = !failure.about.customer.is_empty() && e.about.customer == failure.about.customer;
        let same_service = !failure.about.service.is_empty() && e.about.service == failure.about.service;
        let is_state = e.kind != Kind::RequestFailed && e.kind != Kind::AttemptFailed;
        e.about.request == request || same_vm || (is_state && (same_customer || same_service))
    };
    latest(
        events
            .iter()
            .filter(|e| e.stamp <= failure.stamp)
            .filter(is_cause),
    )
}

/// Why an upstream was ejected or not ejected: the latest events about it.
pub fn explain_upstream<'a>(events: &'a [Event], upstream: &str) -> Vec<&'a Event> {
    latest(events.iter().filter(|e| e.about.upstream == upstream))
}

/// Largest number of events in an explanation; older ones rarely matter.
const MAX_EXPLAIN_EVENTS: usize = 50;

fn latest<'a>(events: impl Iterator<Item = &'a Event>) -> Vec<&'a Event> {
    let mut list: Vec<&Event> = events.collect();
    let skip = list.len().saturating_sub(MAX_EXPLAIN_EVENTS);
    list.drain(..skip);
    list
}

fn is_vm_state(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Started | Kind::Stopping | Kind::FreshnessLost | Kind::FreshnessGained | Kind::ConfigApplied
    )
}
