//! HTTP/1.1 messages on blocking connections.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request, or with a status as `target` a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// How requests are read.
#[derive(Clone, Copy)]
pub struct Reading {
    /// Bytes of a body that are read at once.
    pub part: usize,
    /// Pause after them.
    pub pause: Duration,
    /// Called once the head of a request has been read.
    pub on_head: fn(&Message),
}

impl Default for Reading {
    fn default() -> Self {
        Self { part: usize::MAX, pause: Duration::ZERO, on_head: |_| {} }
    }
}

/// Reads a message; `None` if the connection was closed before it.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    read_in(stream, Reading::default())
}

fn read_in(stream: &mut BufReader<TcpStream>, reading: Reading) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_string);
    let mut message = Message {
        method: words.next().unwrap_or_default(),
        target: words.next().unwrap_or_default(),
        ..Message::default()
    };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                message.headers.push((name.to_string(), value.trim().to_string()));
            }
            None => break,
        }
    }
    (reading.on_head)(&message);
    if message.header("transfer-encoding").is_some() {
        read_chunks(stream, &mut message.body)?;
    } else if let Some(len) = message.header("content-length").and_then(|len| len.parse().ok()) {
        message.body = vec![0; len];
        for part in message.body.chunks_mut(reading.part) {
            stream.read_exact(part)?;
            thread::sleep(reading.pause);
        }
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; len + 2];
        stream.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(());
        }
        body.extend(&chunk[..len]);
    }
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())
}

/// Serves connections in threads. `handle` writes the response.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    for stream in listener.incoming().flatten() {
        spawn(stream, Reading::default(), handle.clone());
    }
}

/// Serves a connection in a thread and reads requests as `reading` says.
pub fn spawn<F>(stream: TcpStream, reading: Reading, handle: Arc<F>)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    thread::spawn(move || {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_in(&mut reader, reading) {
            if handle(message, &mut writer).is_err() {
                return;
            }
        }
    });
}
