//! The operator of a bench: changes the configuration by way of the operators' API.

use crate::daemon_process::OPERATOR_TOKEN;
use anyhow::Result;
use anyhow::bail;
use guavaladder_lib::generated::config::ConfigChangeReply;
use guavaladder_lib::generated::config::ConfigChangeRequest;
use guavaladder_lib::generated::config::InForceReport;
use guavaladder_lib::generated::operator::ConfigReply;
use guavaladder_lib::generated::operator::PeerFaults;
use guavaladder_lib::generated::operator::ServicesReply;
use guavaladder_lib::generated::operator::StatusReply;
use guavaladder_lib::operator_client::OperatorClient;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two questions.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// An operator with a list of nodes to ask.
pub struct Operator {
    client: OperatorClient,
    author: String,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Accepted {
    /// Version of the configuration.
    pub version: u64,
    /// Time to the acceptance.
    pub accepted_after: Duration,
}

impl Operator {
    /// Returns an operator of nodes by their operators' addresses.
    pub fn new(endpoints: Vec<String>, author: &str) -> Self {
        let client = OperatorClient::new(endpoints, OPERATOR_TOKEN.to_string());
        Self { client, author: author.to_string() }
    }

    /// Applies a whole configuration on top of a version.
    pub async fn apply(&self, based_on: u64, config: &Value, reason: &str) -> Result<Accepted> {
        let began = Instant::now();
        let req = ConfigChangeRequest {
            change_id: format!("{:016x}", rand::random::<u64>()),
            author: self.author.clone(),
            reason: reason.to_string(),
            based_on,
            config: config.to_string(),
        };
        let reply: ConfigChangeReply = self.client.post("config/apply", &req).await?;
        Ok(Accepted { version: reply.version, accepted_after: began.elapsed() })
    }

    /// Returns the version in force and the configuration.
    pub async fn config(&self) -> Result<(u64, Value)> {
        let reply: ConfigReply = self.client.get("config").await?;
        let Some(record) = reply.record else { bail!("no configuration is in force") };
        Ok((record.version, serde_json::to_value(&record.config)?))
    }

    /// Waits until a version is in force on all of `nodes` nodes and returns how long it took.
    pub async fn wait_in_force(
        &self,
        version: u64,
        nodes: u32,
        bound: Duration,
    ) -> Result<(InForceReport, Duration)> {
        let began = Instant::now();
        loop {
            let path = format!("config/in-force?version={version}");
            let report: InForceReport = self.client.get(&path).await?;
            if report.in_force >= nodes {
                return Ok((report, began.elapsed()));
            }
            if began.elapsed() > bound {
                bail!("version {version} is in force on {} of {nodes}", report.in_force);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Waits until the answering node knows this many live nodes.
    pub async fn wait_nodes(&self, nodes: usize, bound: Duration) -> Result<Duration> {
        let began = Instant::now();
        loop {
            let status: StatusReply = self.client.get("status").await?;
            let live = status.nodes.iter().filter(|node| node.state == "live").count();
            if live >= nodes {
                return Ok(began.elapsed());
            }
            if began.elapsed() > bound {
                bail!("{} knows {live} of {nodes} nodes after {bound:?}", status.node);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Sets the fault switches of the answering node's peer socket.
    pub async fn set_peer_faults(&self, faults: &PeerFaults) -> Result<()> {
        let _: PeerFaults = self.client.post("test/peer-faults", faults).await?;
        Ok(())
    }

    /// Returns the services with their groups.
    pub async fn services(&self) -> Result<ServicesReply> {
        Ok(self.client.get("services").await?)
    }

    /// Waits until every engine service has as many serving groups as it wants.
    pub async fn wait_serving(&self, bound: Duration) -> Result<Duration> {
        let began = Instant::now();
        loop {
            let reply = self.services().await?;
            let short: Vec<String> = reply
                .services
                .iter()
                .filter(|service| service.serving < service.wanted)
                .map(|s| format!("{} {} of {}", s.service, s.serving, s.wanted))
                .collect();
            if short.is_empty() && !reply.services.is_empty() {
                return Ok(began.elapsed());
            }
            if began.elapsed() > bound {
                bail!("not all groups serve after {bound:?}: {}", short.join(", "));
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }
}
