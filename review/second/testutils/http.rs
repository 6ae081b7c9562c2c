//! HTTP/1.1 on blocking sockets: messages with a length, in chunks or, for answers, up to the end of the connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line, without its end.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the first line and the headers; `None` at the end of the connection.
fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if from.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_string();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body of a message.
fn read_body(from: &mut impl BufRead, message: &mut Message, is_answer: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            from.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    match message.header("content-length").map(str::parse) {
        Some(Ok(length)) => {
            message.body = vec![0; length];
            from.read_exact(&mut message.body)
        }
        Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
        None if is_answer => from.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Sends an answer with a length.
pub fn answer(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (bytes + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Serves each connection in a thread of its own until `handle` fails. Ends once `is_over` is true.
pub fn serve(
    listener: TcpListener,
    is_over: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).expect("a listener that does not block");
    thread::spawn(move || {
        while !is_over() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(mut request) = read_head(&mut reader)? {
                    read_body(&mut reader, &mut request, false)?;
                    handle(request, &mut stream)?;
                }
                Ok(())
            });
        }
    });
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(to: SocketAddr, request: &[u8], time_limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let answer = read_head(&mut reader)?;
    let mut answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}
