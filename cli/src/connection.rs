//! Reads the endpoints and the token from options or environment variables.

use crate::args::Invocation;
use crate::error::CliError;
use guavaladder_lib::operator_client::OperatorClient;
use std::env;
use std::fs;
use std::net::SocketAddr;

/// Variable with comma-separated endpoints, read if no `--endpoint` is given.
const ENDPOINTS_VARIABLE: &str = "GUAVALADDER_ENDPOINTS";
/// Variable with the token, read if no `--token-file` is given.
const TOKEN_VARIABLE: &str = "GUAVALADDER_TOKEN";

/// Returns a client for the endpoints and token of an invocation.
pub fn client(invocation: &Invocation) -> Result<OperatorClient, CliError> {
    Ok(OperatorClient::new(endpoints(invocation)?, token(invocation)?))
}

fn endpoints(invocation: &Invocation) -> Result<Vec<String>, CliError> {
    let mut endpoints = invocation.values("endpoint");
    if endpoints.is_empty() {
        let text = env::var(ENDPOINTS_VARIABLE).unwrap_or_default();
        endpoints = text.split(',').map(str::trim).map(str::to_string).collect();
        endpoints.retain(|endpoint| !endpoint.is_empty());
    }
    if endpoints.is_empty() {
        let message = "no endpoint given".to_string();
        let hint = format!("give --endpoint IP:PORT or set {ENDPOINTS_VARIABLE}");
        return Err(CliError::Usage { message, hint });
    }
    for endpoint in &endpoints {
        if endpoint.parse::<SocketAddr>().is_err() {
            let message = format!("--endpoint: found {endpoint:?}; allowed: `ip:port`");
            let hint = "use a node's `operator_listen` address".to_string();
            return Err(CliError::Usage { message, hint });
        }
    }
    Ok(endpoints)
}

/// Returns the token from `--token-file` or the environment.
pub fn token(invocation: &Invocation) -> Result<String, CliError> {
    let token = match invocation.value("token-file") {
        Some(path) => {
            let read = fs::read_to_string(&path);
            read.map_err(|source| CliError::File { path, source })?
        }
        None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let token = token.trim().to_string();
    let hint = format!("give --token-file FILE or set {TOKEN_VARIABLE}");
    if token.is_empty() {
        return Err(CliError::Usage { message: "no token given".to_string(), hint });
    }
    if !token.chars().all(|c| c.is_ascii_graphic()) {
        let message = "the token contains characters other than visible ASCII".to_string();
        return Err(CliError::Usage {
            message,
            hint: "the file must contain exactly one token".to_string(),
        });
    }
    Ok(token)
}
