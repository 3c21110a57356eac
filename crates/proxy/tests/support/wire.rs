//! HTTP/1.1 read from a socket by hand, so that no library hides what was sent.

use tokio::io::{AsyncRead, AsyncReadExt};

use caperworks::identifiers::stable_hash;

/// A head as it came: its first line and its headers.
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

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// The stream ended or broke before what was awaited had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

/// One end of a connection, with the bytes that were read and not used yet.
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

    async fn read_more(&mut self) -> Result<(), Cut> {
        match self.reader.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Cut),
            Ok(_) => Ok(()),
        }
    }

    /// Waits for the stream to end; says whether bytes came before that.
    pub async fn read_to_end(&mut self) -> bool {
        while self.read_more().await.is_ok() {}
        !self.buffer.is_empty()
    }

    pub async fn read_head(&mut self) -> Result<WireHead, Cut> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(WireHead::parse(&text));
            }
            self.read_more().await?;
        }
    }

    async fn read_line(&mut self) -> Result<String, Cut> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.read_more().await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, Cut> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Cut> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| Cut)?;
            body.extend(self.read_exactly(length).await?);
            let end = self.read_line().await?;
            if !end.is_empty() {
                return Err(Cut);
            }
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// The body that belongs to a head; an answer must name its length or come in chunks.
    pub async fn read_body(&mut self, head: &WireHead) -> Result<Vec<u8>, Cut> {
        if head.header("transfer-encoding") == Some("chunked") {
            return self.read_chunks().await;
        }
        match head.header("content-length").map(str::parse) {
            Some(Ok(length)) => self.read_exactly(length).await,
            Some(Err(_)) => Err(Cut),
            None => Ok(Vec::new()),
        }
    }
}

/// Where a run of bytes begins.
pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// A body in chunks of this many bytes, with the last chunk.
pub fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// A body that can be told from that of every other request, and from a part of itself.
pub fn body_of(owner: &str, length: usize) -> Vec<u8> {
    let first_line = format!("{owner} {length}\n");
    let hash = stable_hash(owner) as usize;
    let filling = (0..length).map(|index| b'a' + ((hash + index * 7) % 26) as u8);
    first_line.into_bytes().into_iter().chain(filling).collect()
}

/// Whether a body is the whole one of this owner.
pub fn is_complete_body_of(owner: &str, body: &[u8]) -> bool {
    let Some(end) = find(body, b"\n") else {
        return false;
    };
    let first_line = String::from_utf8_lossy(&body[..end]).into_owned();
    let length = first_line.split(' ').nth(1).map(str::parse);
    matches!(length, Some(Ok(length)) if body == body_of(owner, length))
}
