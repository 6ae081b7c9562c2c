//! Requests of clients, each on a new connection.

use crate::http;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Answer to a client: a status, or why there is none.
pub type Answer = Result<u16, String>;

/// Sends a request and waits for its answer.
pub fn send(
    node: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    deadline: Duration,
) -> Answer {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).map_err(text)?;
    stream.set_read_timeout(Some(deadline)).map_err(text)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Connection: close\r\n\r\n{body}"));
    stream.write_all(request.as_bytes()).map_err(text)?;
    let response = http::read(&mut BufReader::new(stream)).map_err(text)?;
    let response = response.ok_or("the connection was closed")?;
    response.target.parse().map_err(|_| "no status".to_string())
}
