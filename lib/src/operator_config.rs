//! Operator API operations on the fleet configuration: apply, diff and history.

use crate::config_change;
use crate::config_change::ConfigChangeError;
use crate::config_change::history_key;
use crate::cx::Cx;
use crate::generated::config::ConfigChangeReply;
use crate::generated::config::ConfigChangeRequest;
use crate::generated::config::ConfigRecord;
use crate::generated::config::FleetConfig;
use crate::generated::operator::ConfigDiffReply;
use crate::generated::operator::ConfigHistoryReply;
use crate::operator_error::OperatorApiError;
use crate::schema_check::Problem;
use crate::store_client::CallClass;
use crate::store_client::StoreClient;

/// Maximum number of history records in one response.
const MAX_HISTORY: u64 = 100;

/// Applies a change of the configuration; a reason and a change id are required.
pub async fn apply(
    cx: &Cx,
    store: &StoreClient,
    req: &ConfigChangeRequest,
) -> Result<ConfigChangeReply, OperatorApiError> {
    if req.reason.trim().is_empty() || req.change_id.is_empty() {
        let reason = "found an empty reason or change id; allowed: a text for both".to_string();
        return Err(OperatorApiError::BadRequest { reason });
    }
    config_change::apply(cx, store, req).await.map_err(to_api_error)
}

/// Returns what a proposed configuration would change, and the problems for which it would be refused.
pub fn diff(cx: &Cx, text: &str) -> ConfigDiffReply {
    let current = cx.config.get();
    let before = current.as_ref().map(|record| &record.config);
    let proposed = serde_json::from_str::<FleetConfig>(text);
    let differences = proposed.map(|after| crate::config_diff::diff(before, Some(&after)));
    ConfigDiffReply {
        version: current.as_ref().map_or(0, |record| record.version),
        differences: differences.unwrap_or_default(),
        problems: crate::config_check::check(cx, text).err().map(problem_lines).unwrap_or_default(),
    }
}

/// Returns up to `limit` accepted configurations, newest first; unreadable records are left out.
pub async fn history(
    cx: &Cx,
    store: &StoreClient,
    limit: u64,
) -> Result<ConfigHistoryReply, OperatorApiError> {
    let Some(current) = cx.config.get() else { return Ok(ConfigHistoryReply { records: vec![] }) };
    let newest = current.version;
    let oldest = newest.saturating_sub(limit.min(MAX_HISTORY)).max(1);
    let mut records = if limit == 0 { vec![] } else { vec![(*current).clone()] };
    for version in (oldest..newest).rev().take(limit.min(MAX_HISTORY).saturating_sub(1) as usize) {
        let object = store.get(CallClass::Report, &history_key(version)).await;
        let object = object.map_err(|e| OperatorApiError::Unavailable { reason: e.to_string() })?;
        let record =
            object.and_then(|object| serde_json::from_str::<ConfigRecord>(&object.value).ok());
        records.extend(record);
    }
    Ok(ConfigHistoryReply { records })
}

fn to_api_error(e: ConfigChangeError) -> OperatorApiError {
    match e {
        ConfigChangeError::Invalid(problems) => {
            OperatorApiError::Invalid { problems: problem_lines(problems) }
        }
        ConfigChangeError::Conflict(conflict) => OperatorApiError::Conflict {
            version: conflict.version,
            author: conflict.author,
            reason: conflict.reason,
            differences: conflict.differences,
        },
        ConfigChangeError::Unclear(_) => OperatorApiError::Unclear { reason: e.to_string() },
        ConfigChangeError::Unavailable(_) | ConfigChangeError::Malformed { .. } => {
            OperatorApiError::Unavailable { reason: e.to_string() }
        }
    }
}

fn problem_lines(problems: Vec<Problem>) -> Vec<String> {
    problems.iter().map(Problem::to_string).collect()
}
