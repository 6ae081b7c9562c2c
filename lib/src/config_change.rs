//! Changes of the fleet configuration: conditional on the version that a change was based on,
//! idempotent by the operator's change id, and archived in a history.
//!
//! An accepted change always gets the version that follows the one it was based on. A resend is
//! therefore recognized by comparing the change id of that version, in the current object or in the
//! history.

use crate::config_check;
use crate::config_diff;
use crate::config_view::CONFIG_KEY;
use crate::cx::Cx;
use crate::facts::Fact;
use crate::facts::FactKind;
use crate::generated::config::ConfigChangeReply;
use crate::generated::config::ConfigChangeRequest;
use crate::generated::config::ConfigRecord;
use crate::generated::config::FleetConfig;
use crate::generated::config::InForceReport;
use crate::generated::config::NodeInForce;
use crate::generated::events::Event;
use crate::generated::operator::ConfigDifference;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::generated::platform::VersionedObject;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::object_view::ViewedObject;
use crate::schema_check::Problem;
use crate::store_client::CallClass;
use crate::store_client::StoreClient;
use crate::store_error::StoreError;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Key prefix of the records of earlier configurations in the store.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Number of earlier configurations kept in the history.
const HISTORY_LEN: u64 = 500;

/// Errors of a change; only after [`ConfigChangeError::Unclear`] may the change have taken effect.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigChangeError {
    /// The configuration did not pass the checks.
    #[error("the configuration has {} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// The change is based on a version that is no longer the current one.
    #[error("version {} by {} is in force instead of {}", .0.version, .0.author, .0.based_on)]
    Conflict(Box<ConfigConflict>),
    /// The store is unavailable; the change was not accepted.
    #[error("the store is unavailable; the change was not accepted")]
    Unavailable(#[source] StoreError),
    /// It is not known whether the change was accepted; send it again under the same id.
    #[error("it is unclear whether the change was accepted; send it again under the same id")]
    Unclear(#[source] StoreError),
    /// The record in the store does not parse.
    #[error("the stored configuration is malformed: {reason}")]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
}

/// The configuration in force that a refused change conflicts with.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigConflict {
    /// Version that the change was based on.
    pub based_on: u64,
    /// Version in force; 0 when there is none.
    pub version: u64,
    /// Author of the version in force.
    pub author: String,
    /// Reason that its author gave.
    pub reason: String,
    /// Values in which the version in force and the refused change differ.
    pub differences: Vec<ConfigDifference>,
}

/// Applies a change and records whether it was accepted or refused.
pub async fn apply(
    cx: &Cx,
    store: &StoreClient,
    req: &ConfigChangeRequest,
) -> Result<ConfigChangeReply, ConfigChangeError> {
    let result = try_apply(cx, store, req).await;
    match &result {
        Ok(reply) if !reply.repeated => cx.record(Event::ConfigAccepted {
            change: req.change_id.clone(),
            version: reply.version,
            author: req.author.clone(),
            reason: req.reason.clone(),
        }),
        Ok(_) => {}
        Err(e) => cx.record(Event::ConfigRefused {
            change: req.change_id.clone(),
            author: req.author.clone(),
            reason: e.to_string(),
        }),
    }
    result
}

async fn try_apply(
    cx: &Cx,
    store: &StoreClient,
    req: &ConfigChangeRequest,
) -> Result<ConfigChangeReply, ConfigChangeError> {
    let config = config_check::check(cx, &req.config).map_err(ConfigChangeError::Invalid)?;
    let stored = read_current(cx, store).await?;
    let current = stored.as_ref().map(|(_, record)| record);
    let version = current.map_or(0, |record| record.version);
    if let Some(reply) = find_applied(store, req, current).await? {
        return Ok(reply);
    }
    if version != req.based_on {
        return Err(conflict(req, current, &config));
    }
    if let Some(record) = current {
        archive(store, record).await?;
    }
    let record = ConfigRecord {
        version: version + 1,
        change_id: req.change_id.clone(),
        author: req.author.clone(),
        reason: req.reason.clone(),
        accepted_unix: cx.clock.unix(),
        config,
    };
    let text = render(&record)?;
    let if_version = stored.as_ref().map_or(0, |(object, _)| object.version);
    let put = PutObject { key: CONFIG_KEY.to_string(), if_version, value: text.clone() };
    match store.put(CallClass::Config, put).await {
        Ok(PutOutcome::Written(object_version)) => {
            let value = Some(Arc::from(text.as_str()));
            let key = CONFIG_KEY.to_string();
            cx.view.apply(ViewedObject { key, version: object_version, value });
            Ok(ConfigChangeReply { version: record.version, repeated: false })
        }
        Ok(PutOutcome::Conflict(_)) => resolve_conflict(cx, store, req, &record.config).await,
        Err(e) if e.may_have_effect() => Err(ConfigChangeError::Unclear(e)),
        Err(e) => Err(ConfigChangeError::Unavailable(e)),
    }
}

/// Determines whether the conditional write failed because of a resend of the same change or because
/// of another change.
async fn resolve_conflict(
    cx: &Cx,
    store: &StoreClient,
    req: &ConfigChangeRequest,
    config: &FleetConfig,
) -> Result<ConfigChangeReply, ConfigChangeError> {
    // This write may have been accepted and replaced since, so the store is read again.
    let stored = read_current(cx, store).await.map_err(as_unclear)?;
    let current = stored.as_ref().map(|(_, record)| record);
    match find_applied(store, req, current).await.map_err(as_unclear)? {
        Some(reply) => Ok(reply),
        None => Err(conflict(req, current, config)),
    }
}

fn as_unclear(error: ConfigChangeError) -> ConfigChangeError {
    match error {
        ConfigChangeError::Unavailable(e) => ConfigChangeError::Unclear(e),
        other => other,
    }
}

async fn read_current(
    cx: &Cx,
    store: &StoreClient,
) -> Result<Option<(VersionedObject, ConfigRecord)>, ConfigChangeError> {
    let object = store.get(CallClass::Config, CONFIG_KEY).await;
    let object = object.map_err(ConfigChangeError::Unavailable)?;
    let Some(object) = object else { return Ok(None) };
    cx.view.apply_stored(&object);
    let record = parse(&object.value)?;
    Ok(Some((object, record)))
}

/// Finds the version that an earlier attempt of the same change created.
async fn find_applied(
    store: &StoreClient,
    req: &ConfigChangeRequest,
    current: Option<&ConfigRecord>,
) -> Result<Option<ConfigChangeReply>, ConfigChangeError> {
    let version = req.based_on + 1;
    let Some(current) = current.filter(|current| current.version >= version) else {
        return Ok(None);
    };
    let is_same_change = if current.version == version {
        current.change_id == req.change_id
    } else {
        let key = history_key(version);
        let object = store.get(CallClass::Config, &key).await;
        match object.map_err(ConfigChangeError::Unavailable)? {
            Some(object) => parse(&object.value)?.change_id == req.change_id,
            None => false,
        }
    };
    Ok(is_same_change.then_some(ConfigChangeReply { version, repeated: true }))
}

/// Writes the record that is about to be replaced into the history, and deletes the oldest record once
/// the history exceeds its length.
async fn archive(store: &StoreClient, record: &ConfigRecord) -> Result<(), ConfigChangeError> {
    let put = PutObject { key: history_key(record.version), if_version: 0, value: render(record)? };
    // A conflict means that another change has already archived this record.
    store.put(CallClass::Config, put).await.map_err(ConfigChangeError::Unavailable)?;
    let Some(oldest) = record.version.checked_sub(HISTORY_LEN).filter(|oldest| *oldest > 0) else {
        return Ok(());
    };
    let key = history_key(oldest);
    if let Ok(Some(object)) = store.get(CallClass::Report, &key).await {
        let _ = store.delete(CallClass::Report, &key, object.version).await;
    }
    Ok(())
}

/// Returns the store key of an earlier version in the history.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:010}")
}

fn conflict(
    req: &ConfigChangeRequest,
    current: Option<&ConfigRecord>,
    config: &FleetConfig,
) -> ConfigChangeError {
    let current_config = current.map(|record| &record.config);
    ConfigChangeError::Conflict(Box::new(ConfigConflict {
        based_on: req.based_on,
        version: current.map_or(0, |record| record.version),
        author: current.map(|record| record.author.clone()).unwrap_or_default(),
        reason: current.map(|record| record.reason.clone()).unwrap_or_default(),
        differences: config_diff::diff(current_config, Some(config)),
    }))
}

fn parse(text: &str) -> Result<ConfigRecord, ConfigChangeError> {
    serde_json::from_str(text).map_err(|e| ConfigChangeError::Malformed { reason: e.to_string() })
}

fn render(record: &ConfigRecord) -> Result<String, ConfigChangeError> {
    serde_json::to_string(record)
        .map_err(|e| ConfigChangeError::Malformed { reason: e.to_string() })
}

/// Publishes the version in force on this node to its peers whenever it changes, until shutdown.
pub async fn publish_in_force(cx: Cx, shutdown: CancellationToken) {
    let mut changes = cx.view.subscribe();
    let mut published = 0;
    loop {
        if let Some(record) = cx.config.get()
            && record.version != published
        {
            published = record.version;
            let value = postcard::to_stdvec(&record.version).unwrap_or_default();
            cx.facts.publish(cx.node(), cx.incarnation, FactKind::ConfigInForce, value);
            let change = record.change_id.clone();
            cx.record(Event::ConfigInForce { change, version: record.version });
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = shutdown.cancelled() => return,
        }
    }
}

/// Reports on which nodes a version or a later one is in force, according to the confirmations that this
/// node has received.
pub fn in_force(cx: &Cx, version: u64) -> InForceReport {
    let members = cx.members.get();
    let mut report = InForceReport { version, members: 0, in_force: 0, missing: vec![] };
    for member in members.values() {
        let known = confirmed_version(cx, member);
        if member.state == MemberState::Dead && known < version {
            continue;
        }
        report.members += 1;
        if known >= version {
            report.in_force += 1;
            continue;
        }
        let why = match member.state {
            MemberState::Dead | MemberState::Suspect => "the node is not responding",
            MemberState::Leaving => "the node is leaving",
            MemberState::Live if known == 0 => "the node has not yet confirmed any version",
            MemberState::Live => "the node has only confirmed an earlier version",
        };
        let node = member.node.clone();
        report.missing.push(NodeInForce { node, version: known, why: why.to_string() });
    }
    report
}

/// Returns the version that a node has confirmed in its current incarnation; 0 when none is known.
pub fn confirmed_version(cx: &Cx, member: &Member) -> u64 {
    let facts = cx.facts.all(FactKind::ConfigInForce);
    let is_current =
        |fact: &&Fact| fact.node == member.node && fact.incarnation == member.incarnation;
    let fact = facts.iter().find(is_current);
    fact.and_then(|fact| postcard::from_bytes(&fact.value).ok()).unwrap_or(0)
}
