//! Compares the results that callers got with the requests that the stand-in upstreams ran.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use tide::http::Method;

use crate::load::AttemptOutcome;
use crate::load::Load;
use crate::load::Record;

/// Number of `Code::OverRate`.
const OVER_RATE: u16 = 105;

/// Results of one load.
#[derive(Debug, Default)]
pub(crate) struct Evaluation {
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    /// Answered requests that no upstream ran, and idempotent requests that were neither answered nor
    /// refused.
    pub(crate) lost: usize,
    /// Non-idempotent requests that ran more than once.
    pub(crate) doubled: usize,
    /// Requests whose every attempt was refused as not run although an upstream ran one.
    pub(crate) false_refusals: usize,
    /// Attempts that were refused as over the rate.
    pub(crate) over_rate: usize,
    /// Requests whose last attempt was refused.
    pub(crate) refused: usize,
    /// Non-idempotent requests with an unknown outcome.
    pub(crate) unknown: usize,
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
}

impl Evaluation {
    /// A figure by its name in a scenario.
    pub(crate) fn figure(&self, name: &str) -> Option<u64> {
        let count = match name {
            "lost" => self.lost,
            "doubled" => self.doubled,
            "false-refusals" => self.false_refusals,
            "over-rate" => self.over_rate,
            "refused" => self.refused,
            "unknown" => self.unknown,
            "unanswered" => self.sent - self.answered,
            "p50-ms" => return u64::try_from(self.p50.as_millis()).ok(),
            "p99-ms" => return u64::try_from(self.p99.as_millis()).ok(),
            _ => return None,
        };
        u64::try_from(count).ok()
    }
}

/// Reads the request logs of all stand-ins; returns how often each path ran.
pub(crate) fn read_request_logs(folder: &Path) -> Result<HashMap<String, usize>, String> {
    let mut runs = HashMap::new();
    for entry in fs::read_dir(folder).map_err(|e| e.to_string())? {
        let path = entry.map_err(|e| e.to_string())?.path();
        if path.extension().is_none_or(|e| e != "journal") {
            continue;
        }
        let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        // The first line of each run of a stand-in is its address.
        for line in text.lines().filter(|l| l.starts_with('{')) {
            let run: serde_json::Value =
                serde_json::from_str(line).map_err(|e| format!("{}: {e}: {line}", path.display()))?;
            let ran = run["path"].as_str().ok_or_else(|| format!("no path in {line}"))?;
            *runs.entry(ran.to_owned()).or_default() += 1;
        }
    }
    Ok(runs)
}

/// Evaluates one load.
pub(crate) fn evaluate(load: &Load, runs: &HashMap<String, usize>) -> Evaluation {
    let mut evaluation = Evaluation::default();
    let mut latencies: Vec<Duration> = Vec::new();
    let is_idempotent = load.plan.method != Method::Post;
    for record in load.records() {
        let ran = runs.get(&record.path).copied().unwrap_or(0);
        count(&mut evaluation, &record, ran, is_idempotent);
        if record.attempts.last() == Some(&AttemptOutcome::Answered) {
            latencies.push(record.latency);
        }
    }
    latencies.sort_unstable();
    let quantile = |share: f64| {
        let index = (latencies.len() as f64 * share) as usize;
        latencies
            .get(index.min(latencies.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    };
    (evaluation.p50, evaluation.p99) = (quantile(0.50), quantile(0.99));
    evaluation
}

/// Adds one request to the figures; `ran` is how often an upstream ran it.
fn count(evaluation: &mut Evaluation, record: &Record, ran: usize, is_idempotent: bool) {
    let last = record.attempts.last();
    let is_answered = last == Some(&AttemptOutcome::Answered);
    let is_refused = record
        .attempts
        .iter()
        .all(|a| matches!(a, AttemptOutcome::NotRun(_)));
    evaluation.sent += 1;
    evaluation.answered += usize::from(is_answered);
    evaluation.doubled += usize::from(!is_idempotent && ran > 1);
    evaluation.false_refusals += usize::from(is_refused && ran > 0);
    evaluation.over_rate += record
        .attempts
        .iter()
        .filter(|a| **a == AttemptOutcome::NotRun(OVER_RATE))
        .count();
    evaluation.refused += usize::from(matches!(last, Some(AttemptOutcome::NotRun(_))));
    let is_unknown = !is_answered && !matches!(last, Some(AttemptOutcome::NotRun(_)));
    evaluation.unknown += usize::from(is_unknown && !is_idempotent);
    evaluation.lost += usize::from((is_answered && ran == 0) || (is_unknown && is_idempotent));
}
