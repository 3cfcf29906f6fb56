//! Parameters and results of the methods that evacuate failure domains.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainName;
use crate::id::Version;

/// `domain.evacuate`, `domain.restore`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainOrder {
    /// Name of the failure domain.
    pub id: DomainName,
}

/// An evacuated failure domain in answers to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DomainInfo {
    /// Name of the failure domain.
    pub id: DomainName,
    /// Version of the order.
    pub version: Version,
}
