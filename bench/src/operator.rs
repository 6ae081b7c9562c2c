//! Client of the operator API for benchmarks.

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

/// Interval between two requests while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Operator that sends requests to a list of nodes.
pub struct Operator {
    client: OperatorClient,
    author: String,
}

/// Accepted change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AcceptedChange {
    /// Version of the new configuration.
    pub version: u64,
    /// Time from the request to its acceptance.
    pub accepted_after: Duration,
}

impl Operator {
    /// Creates an operator for the nodes with these operator API addresses.
    pub fn new(endpoints: Vec<String>, author: &str) -> Self {
        let client = OperatorClient::new(endpoints, OPERATOR_TOKEN.to_string());
        Self { client, author: author.to_string() }
    }

    /// Applies a complete configuration based on a version.
    pub async fn apply(
        &self,
        based_on: u64,
        config: &Value,
        reason: &str,
    ) -> Result<AcceptedChange> {
        let began = Instant::now();
        let req = ConfigChangeRequest {
            change_id: format!("{:016x}", rand::random::<u64>()),
            author: self.author.clone(),
            reason: reason.to_string(),
            based_on,
            config: config.to_string(),
        };
        let reply: ConfigChangeReply = self.client.post("config/apply", &req).await?;
        Ok(AcceptedChange { version: reply.version, accepted_after: began.elapsed() })
    }

    /// Returns the configuration in force with its version.
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
        timeout: Duration,
    ) -> Result<(InForceReport, Duration)> {
        let began = Instant::now();
        loop {
            let path = format!("config/in-force?version={version}");
            let report: InForceReport = self.client.get(&path).await?;
            if report.in_force >= nodes {
                return Ok((report, began.elapsed()));
            }
            if began.elapsed() > timeout {
                bail!("version {version} is in force on only {} of {nodes} nodes", report.in_force);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the node that responds sees at least `nodes` live nodes.
    pub async fn wait_nodes(&self, nodes: usize, timeout: Duration) -> Result<Duration> {
        let began = Instant::now();
        loop {
            let status: StatusReply = self.client.get("status").await?;
            let live = status.nodes.iter().filter(|node| node.state == "live").count();
            if live >= nodes {
                return Ok(began.elapsed());
            }
            if began.elapsed() > timeout {
                bail!("{} sees {live} of {nodes} nodes as live after {timeout:?}", status.node);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets the faults that the node that responds injects into its peer socket.
    pub async fn set_peer_faults(&self, faults: &PeerFaults) -> Result<()> {
        let _: PeerFaults = self.client.post("test/peer-faults", faults).await?;
        Ok(())
    }

    /// Returns the services with their groups.
    pub async fn services(&self) -> Result<ServicesReply> {
        Ok(self.client.get("services").await?)
    }

    /// Waits until every service has the wanted number of serving groups.
    pub async fn wait_serving(&self, timeout: Duration) -> Result<Duration> {
        let began = Instant::now();
        loop {
            let reply = self.services().await?;
            let incomplete: Vec<String> = reply
                .services
                .iter()
                .filter(|service| service.serving < service.wanted)
                .map(|s| format!("{} {} of {}", s.service, s.serving, s.wanted))
                .collect();
            if incomplete.is_empty() && !reply.services.is_empty() {
                return Ok(began.elapsed());
            }
            if began.elapsed() > timeout {
                bail!("not all groups are serving after {timeout:?}: {}", incomplete.join(", "));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
