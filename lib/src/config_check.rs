//! Checks a fleet configuration before it is accepted: schema, references, contradictory exceptions
//! and capacity. Reports all problems at once.

use crate::config_diff::escape;
use crate::cx::Cx;
use crate::generated::config::ExceptionKind;
use crate::generated::config::FleetConfig;
use crate::generated::config::Service;
use crate::generated::config::ServiceKind;
use crate::generated::platform::InstanceInfo;
use crate::generated::platform::InstanceRole;
use crate::schema_check;
use crate::schema_check::Problem;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::LazyLock;

/// Schema of the configuration, with the definition of `GroupRole` copied from the engine schema.
static SCHEMA: LazyLock<String> = LazyLock::new(bundled_schema);

/// Parses and checks a configuration; returns the parsed configuration or every problem found.
pub fn check(cx: &Cx, text: &str) -> Result<FleetConfig, Vec<Problem>> {
    let document = schema_check::check(&SCHEMA, text)?;
    let config: FleetConfig = serde_json::from_value(document).map_err(|e| {
        vec![Problem::new("/", &e.to_string(), "a configuration", "correct the document")]
    })?;
    let current = cx.config.get();
    let current = current.as_ref().map(|record| &record.config);
    let mut problems = vec![];
    check_services(&config, &mut problems);
    check_times(&config, &mut problems);
    check_tokens(&config, &mut problems);
    check_exceptions(&config, &mut problems);
    check_capacity(&config, current, &cx.instances.get(), &mut problems);
    if problems.is_empty() { Ok(config) } else { Err(problems) }
}

fn bundled_schema() -> String {
    let parse = |text| serde_json::from_str::<Value>(text).unwrap_or_default();
    let mut schema = parse(include_str!("../../schema/config.json"));
    let engine = parse(include_str!("../../schema/engine.json"));
    schema["$defs"]["GroupRole"] = engine["$defs"]["GroupRole"].clone();
    schema.to_string().replace("engine.json#/$defs/GroupRole", "#/$defs/GroupRole")
}

fn check_services(config: &FleetConfig, problems: &mut Vec<Problem>) {
    for (id, service) in &config.services {
        let path = format!("/services/{}", escape(id));
        match service.kind {
            ServiceKind::Engine if service.model.is_empty() => problems.push(Problem::new(
                &format!("{path}/model"),
                "no model",
                "the name of a model, for an engine service",
                "name the model",
            )),
            ServiceKind::Plain if !service.model.is_empty() => problems.push(Problem::new(
                &format!("{path}/model"),
                &service.model,
                "no model, for a plain service",
                "remove the model or make it an engine service",
            )),
            ServiceKind::Plain if service.members_per_replica != 1 => problems.push(Problem::new(
                &format!("{path}/members_per_replica"),
                &service.members_per_replica.to_string(),
                "1, for a plain service",
                "remove the key",
            )),
            ServiceKind::Engine | ServiceKind::Plain => {}
        }
    }
}

fn check_times(config: &FleetConfig, problems: &mut Vec<Problem>) {
    let defaults = &config.defaults;
    let mut require_shorter = |path: &str, value, than: &str, limit| {
        if value >= limit {
            let found = format!("{} ms", std::time::Duration::as_millis(&value));
            let allowed = format!("less than {than}, {} ms", limit.as_millis());
            problems.push(Problem::new(path, &found, &allowed, "change one of the two"));
        }
    };
    let deadline = defaults.request_deadline;
    let name = "/defaults/request_deadline_ms";
    require_shorter("/defaults/first_token_ms", defaults.first_token, name, deadline);
    require_shorter("/defaults/queue_wait_ms", defaults.queue_wait, name, deadline);
    for (id, service) in &config.services {
        let path = format!("/services/{}/first_token_ms", escape(id));
        let first_token = service.first_token.unwrap_or(defaults.first_token);
        let deadline = service.request_deadline.unwrap_or(deadline);
        let has_override = service.first_token.is_some() || service.request_deadline.is_some();
        if has_override {
            require_shorter(&path, first_token, "the service's request_deadline_ms", deadline);
        }
    }
    for (name, kind) in &config.upstream_kinds {
        let path = format!("/upstream_kinds/{}/order_timeout_ms", escape(name));
        require_shorter(&path, kind.order_timeout, "/defaults/lease_ms", defaults.lease);
    }
}

fn check_tokens(config: &FleetConfig, problems: &mut Vec<Problem>) {
    let mut first_uses: BTreeMap<&str, String> = BTreeMap::new();
    let operators = config
        .operators
        .iter()
        .enumerate()
        .map(|(index, token)| (format!("/operators/{index}"), token));
    let customers = config.customers.iter().flat_map(|(id, customer)| {
        let tokens = customer.tokens.iter().enumerate();
        tokens.map(move |(i, token)| (format!("/customers/{}/tokens/{i}", escape(id)), token))
    });
    for (path, token) in operators.chain(customers) {
        match first_uses.get(token.as_str()) {
            Some(first_use) => problems.push(Problem::new(
                &path,
                &format!("the same token as at {first_use}"),
                "a token that is used once",
                "use a separate token for each entry",
            )),
            None => drop(first_uses.insert(token, path)),
        }
    }
}

fn check_exceptions(config: &FleetConfig, problems: &mut Vec<Problem>) {
    let mut ids = BTreeMap::new();
    let mut subjects: BTreeMap<String, (usize, &ExceptionKind)> = BTreeMap::new();
    for (index, exception) in config.exceptions.iter().enumerate() {
        let path = format!("/exceptions/{index}");
        if let Some(first) = ids.insert(&exception.id, index) {
            problems.push(Problem::new(
                &format!("{path}/id"),
                &exception.id,
                &format!("an id other than that of /exceptions/{first}"),
                "choose another id",
            ));
        }
        check_reference(config, &path, &exception.what, problems);
        let subject = subject(&exception.what);
        if let Some((first, other)) = subjects.get(&subject) {
            if contradicts(other, &exception.what) {
                problems.push(Problem::new(
                    &format!("{path}/what"),
                    &format!("an exception for {subject} that contradicts /exceptions/{first}"),
                    "exceptions that do not contradict each other",
                    "remove one of the two",
                ));
            }
        } else {
            subjects.insert(subject, (index, &exception.what));
        }
    }
}

fn check_reference(
    config: &FleetConfig,
    path: &str,
    what: &ExceptionKind,
    problems: &mut Vec<Problem>,
) {
    let (service, key) = match what {
        ExceptionKind::PinInstance(pin) => (&pin.service, "pin_instance"),
        ExceptionKind::ServiceReplicas(replicas) => (&replicas.service, "service_replicas"),
        // An instance or a domain may be removed while an exception still names it.
        ExceptionKind::ExcludeInstance(_)
        | ExceptionKind::CordonInstance(_)
        | ExceptionKind::CordonDomain(_) => return,
    };
    if !config.services.contains_key(service) {
        let names = config.services.keys().cloned().collect::<Vec<_>>().join(", ");
        problems.push(Problem::new(
            &format!("{path}/what/{key}/service"),
            service,
            &format!("one of the services {names}"),
            "correct the id or add the service",
        ));
    }
}

fn subject(what: &ExceptionKind) -> String {
    match what {
        ExceptionKind::ExcludeInstance(id) | ExceptionKind::CordonInstance(id) => {
            format!("instance {id}")
        }
        ExceptionKind::PinInstance(pin) => format!("instance {}", pin.instance),
        ExceptionKind::CordonDomain(id) => format!("domain {id}"),
        ExceptionKind::ServiceReplicas(replicas) => format!("service {}", replicas.service),
    }
}

/// Returns whether two exceptions for the same subject cannot apply together.
fn contradicts(a: &ExceptionKind, b: &ExceptionKind) -> bool {
    match (a, b) {
        (ExceptionKind::PinInstance(a), ExceptionKind::PinInstance(b)) => a.service != b.service,
        (ExceptionKind::PinInstance(_), _) | (_, ExceptionKind::PinInstance(_)) => true,
        (ExceptionKind::ServiceReplicas(a), ExceptionKind::ServiceReplicas(b)) => {
            a.replicas != b.replicas
        }
        _ => false,
    }
}

/// Refuses a change that requires more instances than the fleet has, unless the current configuration
/// already requires as many: after the loss of a fabric domain, operators must still be able to make
/// unrelated changes.
fn check_capacity(
    config: &FleetConfig,
    current: Option<&FleetConfig>,
    instances: &[InstanceInfo],
    problems: &mut Vec<Problem>,
) {
    let mut by_domain: BTreeMap<&str, u32> = BTreeMap::new();
    for info in instances.iter().filter(|info| info.role == InstanceRole::Engine) {
        *by_domain.entry(&info.domain).or_default() += 1;
    }
    if by_domain.is_empty() {
        return;
    }
    let available: u32 = by_domain.values().sum();
    let wanted = required_instances(config);
    if wanted > available && current.is_none_or(|current| wanted > required_instances(current)) {
        let found = format!("services that require {wanted} instances");
        let allowed = format!("at most the {available} engine instances that the platform lists");
        problems.push(Problem::new(
            "/services",
            &found,
            &allowed,
            "lower the replicas of some services",
        ));
    }
    for (id, service) in &config.services {
        if service.kind != ServiceKind::Engine || service.allow_spanning {
            continue;
        }
        let members = service.members_per_replica.max(1);
        let possible: u32 = by_domain.values().map(|count| count / members).sum();
        let wanted = replicas(config, id, service);
        let before = current.and_then(|current| {
            current.services.get(id).map(|service| replicas(current, id, service))
        });
        if wanted > possible && before.is_none_or(|before| wanted > before) {
            let path = format!("/services/{}/replicas", escape(id));
            let allowed =
                format!("at most {possible}: groups of {members} within one fabric domain each");
            let hint = "lower the number or set allow_spanning";
            problems.push(Problem::new(&path, &wanted.to_string(), &allowed, hint));
        }
    }
}

/// Returns the number of instances that all engine services require together.
fn required_instances(config: &FleetConfig) -> u32 {
    let engine = config.services.iter().filter(|(_, s)| s.kind == ServiceKind::Engine);
    engine
        .map(|(id, service)| {
            replicas(config, id, service).saturating_mul(service.members_per_replica)
        })
        .fold(0, u32::saturating_add)
}

/// Returns the wanted number of groups of a service, taking its exception into account.
fn replicas(config: &FleetConfig, id: &str, service: &Service) -> u32 {
    let mut exceptions = config.exceptions.iter();
    let overridden = exceptions.find_map(|exception| match &exception.what {
        ExceptionKind::ServiceReplicas(replicas) if replicas.service == id => {
            Some(replicas.replicas)
        }
        _ => None,
    });
    overridden.unwrap_or(service.replicas)
}
