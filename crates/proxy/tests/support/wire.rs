//! Reads HTTP/1.1 from a socket without a library, so that nothing that was sent is hidden.

use tokio::io::{AsyncRead, AsyncReadExt};

use caperworks::identifiers::stable_hash;

/// A head as received: its first line and its headers.
#[derive(Debug, Clone)]
pub struct WireHead {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl WireHead {
    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        Self {
            first_line,
            headers,
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known == name);
        named.next().map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request, or the status of a
    /// response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// The stream ended or broke before the expected bytes were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

/// One end of a connection, with the bytes that were received and not consumed yet.
pub struct Wire<Reader> {
    pub reader: Reader,
    pub buffer: Vec<u8>,
}

impl<Reader: AsyncRead + Unpin> Wire<Reader> {
    pub fn over(reader: Reader) -> Self {
        Self {
            reader,
            buffer: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> Result<(), Truncated> {
        match self.reader.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Truncated),
            Ok(_) => Ok(()),
        }
    }

    /// Waits for the end of the stream; returns whether bytes were received before that.
    pub async fn read_to_end(&mut self) -> bool {
        while self.read_more().await.is_ok() {}
        !self.buffer.is_empty()
    }

    pub async fn read_head(&mut self) -> Result<WireHead, Truncated> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(WireHead::parse(&text));
            }
            self.read_more().await?;
        }
    }

    async fn read_line(&mut self) -> Result<String, Truncated> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.read_more().await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, Truncated> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Truncated> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| Truncated)?;
            body.extend(self.read_exactly(length).await?);
            let end = self.read_line().await?;
            if !end.is_empty() {
                return Err(Truncated);
            }
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads the body after a head, by its length or in chunks.
    pub async fn read_body(&mut self, head: &WireHead) -> Result<Vec<u8>, Truncated> {
        if head.header("transfer-encoding") == Some("chunked") {
            return self.read_chunks().await;
        }
        match head.header("content-length").map(str::parse) {
            Some(Ok(length)) => self.read_exactly(length).await,
            Some(Err(_)) => Err(Truncated),
            None => Ok(Vec::new()),
        }
    }
}

/// Returns the offset of the wanted bytes.
pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Returns a body in chunks of this many bytes, with the last chunk.
pub fn chunked_body(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Returns a body that differs from that of every other request and from every part of itself.
pub fn body_of(owner: &str, length: usize) -> Vec<u8> {
    let first_line = format!("{owner} {length}\n");
    let hash = stable_hash(owner) as usize;
    let filling = (0..length).map(|index| b'a' + ((hash + index * 7) % 26) as u8);
    first_line.into_bytes().into_iter().chain(filling).collect()
}

/// Returns whether this is the complete body of this owner.
pub fn is_complete_body_of(owner: &str, body: &[u8]) -> bool {
    let Some(end) = find(body, b"\n") else {
        return false;
    };
    let first_line = String::from_utf8_lossy(&body[..end]).into_owned();
    let length = first_line.split(' ').nth(1).map(str::parse);
    matches!(length, Some(Ok(length)) if body == body_of(owner, length))
}
