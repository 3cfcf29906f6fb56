//! HTTP headers and options that callers and upstreams of a deployment agree on.

use smol_str::SmolStr;

/// Names of headers, in lower case, and how callers, proxy and upstreams use them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpConventions {
    /// Header with the request id; upstreams repeat it in their answers.
    pub id_header: SmolStr,
    /// Whether upstreams get the caller's id instead of one for each attempt.
    pub forwards_id: bool,
    /// Header with the time limit of the request, in milliseconds; upstreams get the remaining time.
    pub timeout_header: SmolStr,
    /// Whether the time limit of the route is an upper bound for the one that the caller states.
    pub caps_timeout: bool,
    /// Header with the customer, sent to upstreams.
    pub customer_header: SmolStr,
    /// Header with the name of the upstream that a request is meant for; any other upstream answers that it
    /// did not run the request.
    pub target_header: Option<SmolStr>,
    /// Header that marks an answer of an upstream that did not run the request.
    pub not_run_header: SmolStr,
    /// Status that states that the upstream did not run the request, even without `not_run_header`.
    pub not_run_status: Option<u16>,
    /// Statuses of answers in which `not_run_header` is taken into account; empty for all.
    pub marker_statuses: Vec<u16>,
    /// Header with which an upstream states in its answers that it leaves; "1" means that it does.
    pub leaving_header: Option<SmolStr>,
    /// Header with which an upstream states in its answers for how many milliseconds it stays cold.
    pub warmup_header: Option<SmolStr>,
    /// Header that each successful answer of an upstream has; one without it is invalid, because another
    /// server sent it.
    pub answer_header: Option<SmolStr>,
    /// Whether upstreams always repeat the id; an answer without it is then invalid, because another server
    /// sent it.
    pub echoes_id: bool,
    /// Header with the id under which a request that may run once is claimed; `None` if the deployment has no claims.
    pub claim_header: Option<SmolStr>,
    /// Header with the caller's key.
    pub key_header: SmolStr,
    /// Whether `authorization` may hold the key as a bearer token.
    pub bearer: bool,
    /// Whether keys may have any form instead of `zk.ID.SECRET`, the form that this project issues.
    pub opaque_keys: bool,
}

impl Default for HttpConventions {
    fn default() -> Self {
        Self {
            id_header: "x-request-id".into(),
            forwards_id: false,
            timeout_header: "x-request-timeout-ms".into(),
            caps_timeout: false,
            customer_header: "x-customer".into(),
            target_header: None,
            not_run_header: "x-not-run".into(),
            not_run_status: None,
            marker_statuses: vec![503],
            leaving_header: None,
            warmup_header: None,
            answer_header: None,
            echoes_id: false,
            claim_header: Some("idempotency-key".into()),
            key_header: "x-api-key".into(),
            bearer: true,
            opaque_keys: false,
        }
    }
}

impl HttpConventions {
    /// Whether a header of a caller must not reach upstreams, because the proxy sets it or it holds a key.
    pub(crate) fn is_reserved(&self, name: &str) -> bool {
        let reserved = [&self.timeout_header, &self.customer_header, &self.key_header];
        reserved.iter().any(|n| *n == name)
            || (name == self.id_header && !self.forwards_id)
            || self.target_header.as_deref() == Some(name)
            || (self.bearer && name == "authorization")
    }

    /// Whether an answer states that the request was not run; `header` finds a header by its name.
    pub(crate) fn is_not_run<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a str>) -> bool {
        if self.not_run_status == Some(status) {
            return true;
        }
        let allowed = self.marker_statuses.is_empty() || self.marker_statuses.contains(&status);
        // "0" and "false" mean that the request ran; any other value, even an empty one, that it did not.
        allowed && header(&self.not_run_header).is_some_and(|v| !matches!(v.trim(), "0" | "false"))
    }
}
