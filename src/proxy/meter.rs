//! Metrics of the request path; callers cannot choose the value of any label.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::http::UnwrittenReason;
use crate::id::Rank;
use crate::notice::Notice;
use crate::stage::AttemptResult;

use super::run::Completion;

/// Upper bounds of the histogram buckets, in seconds. The requirement for the added latency is 3.9 ms at the
/// 99th percentile.
const BUCKETS_S: [f64; 12] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.003_9, 0.006, 0.01, 0.03, 0.1, 0.5, 2.0,
];

/// Upper bounds of the buckets for the time in the queue, in seconds; a request waits at most a quarter of its target
/// latency.
const WAIT_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0];
/// Lower ranks share one label, so that the configuration cannot add labels without end.
const LABELED_RANKS: Rank = 8;

pub(crate) struct Meter {
    requests: IntCounterVec,
    added_latency: Histogram,
    unwritten: IntCounterVec,
    unfinished: IntCounterVec,
    mid_request_ends: IntCounterVec,
    quarantined: IntCounter,
    notices: IntCounterVec,
    waits: IntCounterVec,
    wait_time: HistogramVec,
    refused_ranks: IntCounterVec,
}

impl Meter {
    pub(crate) fn new(registry: &Registry) -> Result<Self> {
        let failed = |e: prometheus::Error| Error::new(Code::Kernel, e.to_string());
        let options = Opts::new(
            "zinnia_requests_total",
            "Requests by code and by whether they ran",
        );
        let requests = IntCounterVec::new(options, &["code", "run"]).map_err(failed)?;
        let options = HistogramOpts::new(
            "zinnia_added_seconds",
            "Time from the read head to the answer, without the time of upstreams",
        );
        let added_latency = Histogram::with_opts(options.buckets(BUCKETS_S.to_vec())).map_err(failed)?;
        let options = Opts::new(
            "zinnia_answers_unwritten_total",
            "Requests that were read and whose answer was not written to its end, by reason",
        );
        let unwritten = IntCounterVec::new(options, &["reason"]).map_err(failed)?;
        let options = Opts::new(
            "zinnia_stop_unfinished_total",
            "Unanswered requests and tasks of requests that were running when a stop ended",
        );
        let unfinished = IntCounterVec::new(options, &["kind"]).map_err(failed)?;
        let options = Opts::new(
            "zinnia_mid_request_ends_total",
            "Attempts whose connection ended before the whole answer, by result",
        );
        let mid_request_ends = IntCounterVec::new(options, &["result"]).map_err(failed)?;
        let options = Opts::new(
            "zinnia_quarantined_total",
            "Requests refused because the same request crashed upstreams",
        );
        let quarantined = IntCounter::with_opts(options).map_err(failed)?;
        registry.register(Box::new(requests.clone())).map_err(failed)?;
        registry
            .register(Box::new(added_latency.clone()))
            .map_err(failed)?;
        registry.register(Box::new(unwritten.clone())).map_err(failed)?;
        registry.register(Box::new(unfinished.clone())).map_err(failed)?;
        registry
            .register(Box::new(mid_request_ends.clone()))
            .map_err(failed)?;
        registry.register(Box::new(quarantined.clone())).map_err(failed)?;
        let options = Opts::new(
            "zinnia_upstream_notices_total",
            "Answers in which an upstream states that it leaves or wants a pause, or whose header is malformed",
        );
        let notices = IntCounterVec::new(options, &["kind"]).map_err(failed)?;
        registry.register(Box::new(notices.clone())).map_err(failed)?;
        let options = Opts::new(
            "zinnia_waits_total",
            "Ended waits in the queue by rank and result",
        );
        let waits = IntCounterVec::new(options, &["rank", "result"]).map_err(failed)?;
        registry.register(Box::new(waits.clone())).map_err(failed)?;
        let options = HistogramOpts::new("zinnia_wait_seconds", "Time of requests in the queue by rank");
        let options = options.buckets(WAIT_BUCKETS_S.to_vec());
        let wait_time = HistogramVec::new(options, &["rank"]).map_err(failed)?;
        registry.register(Box::new(wait_time.clone())).map_err(failed)?;
        let options = Opts::new(
            "zinnia_rank_refusals_total",
            "Requests refused for lack of room, by rank and code",
        );
        let refused_ranks = IntCounterVec::new(options, &["rank", "code"]).map_err(failed)?;
        registry
            .register(Box::new(refused_ranks.clone()))
            .map_err(failed)?;
        Ok(Self {
            requests,
            added_latency,
            unwritten,
            unfinished,
            mid_request_ends,
            quarantined,
            notices,
            waits,
            wait_time,
            refused_ranks,
        })
    }

    pub(crate) fn count(&self, completion: &Completion, total: Duration) {
        let code: &'static str = completion.code.into();
        let run: &'static str = completion.execution.into();
        self.requests.with_label_values(&[code, run]).inc();
        let added = total.saturating_sub(completion.upstream_time);
        self.added_latency.observe(added.as_secs_f64());
    }

    pub(crate) fn count_refusal(&self, code: Code) {
        let name: &'static str = code.into();
        let run: &'static str = code.execution().into();
        self.requests.with_label_values(&[name, run]).inc();
    }

    pub(crate) fn count_unfinished(&self, requests: usize, tasks: usize) {
        for (kind, count) in [("request", requests), ("task", tasks)] {
            self.unfinished.with_label_values(&[kind]).inc_by(count as u64);
        }
    }

    pub(crate) fn count_mid_request_end(&self, result: AttemptResult) {
        let name = result.to_string();
        self.mid_request_ends.with_label_values(&[name.as_str()]).inc();
    }

    pub(crate) fn count_notice(&self, notice: Notice) {
        let kind: &'static str = notice.into();
        self.notices.with_label_values(&[kind]).inc();
    }

    pub(crate) fn count_quarantined(&self) {
        self.quarantined.inc();
    }

    pub(crate) fn count_wait(&self, rank: Rank, result: &'static str, waited: Duration) {
        let rank = rank_label(rank);
        self.waits.with_label_values(&[rank.as_str(), result]).inc();
        let histogram = self.wait_time.with_label_values(&[rank.as_str()]);
        histogram.observe(waited.as_secs_f64());
    }

    pub(crate) fn count_refused_rank(&self, rank: Rank, code: Code) {
        let name: &'static str = code.into();
        let labels = [rank_label(rank), name.to_owned()];
        self.refused_ranks.with_label_values(&labels).inc();
    }

    pub(crate) fn count_unwritten(&self, reason: UnwrittenReason) {
        let name: &'static str = reason.into();
        self.unwritten.with_label_values(&[name]).inc();
    }
}

fn rank_label(rank: Rank) -> String {
    match rank {
        LABELED_RANKS.. => format!("{LABELED_RANKS}+"),
        _ => rank.to_string(),
    }
}
