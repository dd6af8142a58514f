//! Tenants of a version of the configuration, looked up by the keys of their requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::bundle;

/// A tenant, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Tenant {
    pub name: String,
    /// Priority of the tenant's requests, which goes before the rank of their routes.
    pub rank: Option<u32>,
    /// Limit on the tenant's requests over all nodes; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a tenant over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that may be sent at once after a time without any.
    pub burst: f64,
}

impl From<bundle::Quota> for Quota {
    #[allow(
        clippy::cast_precision_loss,
        reason = "rates and bursts are far below 2^52"
    )]
    fn from(quota: bundle::Quota) -> Self {
        Self {
            per_s: quota.per_kilosecond as f64 / 1e3,
            burst: quota.burst as f64,
        }
    }
}

/// Tenants of one version. With none, requests need no keys.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    by_key: HashMap<bundle::ApiKey, Arc<Tenant>>,
    count: usize,
    has_quotas: bool,
}

impl Tenants {
    /// Compiles the tenants of a checked bundle.
    pub(crate) fn compile(tenants: &BTreeMap<String, bundle::Tenant>) -> Self {
        let mut compiled = Self {
            count: tenants.len(),
            has_quotas: tenants.values().any(|tenant| tenant.quota.is_some()),
            ..Self::default()
        };
        for (name, tenant) in tenants {
            let entry = Arc::new(Tenant {
                name: name.clone(),
                rank: tenant.rank,
                quota: tenant.quota.map(Quota::from),
            });
            for key in &tenant.keys {
                compiled.by_key.insert(key.clone(), entry.clone());
            }
        }
        compiled
    }

    /// The tenant that holds a key.
    pub(crate) fn find(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Whether any tenant has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Whether the version has no tenants.
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[cfg(test)]
mod tests;
