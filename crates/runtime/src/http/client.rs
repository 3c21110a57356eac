//! The HTTP client for requests between our own processes and tools, with a new connection for each request.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use jzon::JsonValue;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};

/// The timeout of a request unless another one is set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request got no response.
#[derive(Debug, Error)]
pub enum FetchError {
    /// No complete response arrived in time. The request may have run.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The connection could not be opened. The request has not run, and may be retried.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection failed after it was opened. The request may have run.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The request itself is invalid, for instance its path. A retry does not help.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
}

/// A response that was read to its end.
#[derive(Debug, Clone)]
pub struct Fetched {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Fetched {
    /// Returns the body as JSON, or null if it is invalid.
    pub fn json(&self) -> JsonValue {
        let text = String::from_utf8_lossy(&self.body);
        jzon::parse(&text).unwrap_or(JsonValue::Null)
    }

    /// Returns the value of a header, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request with its options.
#[derive(Debug, Clone)]
pub struct Fetch {
    /// The server.
    pub to: SocketAddr,
    /// The local address to connect from; any if not set.
    pub from: Option<IpAddr>,
    /// The method.
    pub method: Method,
    /// The path, with a query if any.
    pub path: String,
    /// Headers by name.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// How long it may take from the connection to the end of the response.
    pub timeout: Duration,
}

impl Fetch {
    /// Returns a `GET` request.
    pub fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            to,
            from: None,
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Returns a `POST` request.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        let mut fetch = Self::get(to, path);
        fetch.method = Method::POST;
        fetch.body = body.into();
        fetch
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets the timeout.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the local address to connect from.
    pub fn from(mut self, from: IpAddr) -> Self {
        self.from = Some(from);
        self
    }

    /// Sends the request and reads the response to its end.
    pub async fn send(self) -> Result<Fetched, FetchError> {
        let timeout = self.timeout;
        tokio::time::timeout(timeout, self.exchange())
            .await
            .map_err(|_| FetchError::TimedOut(timeout))?
    }

    async fn connect(&self) -> Result<TcpStream, std::io::Error> {
        let socket = if self.to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(from) = self.from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let stream = socket.connect(self.to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn exchange(self) -> Result<Fetched, FetchError> {
        let stream = self.connect().await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(self.method).uri(&self.path);
        if !self.headers.iter().any(|(name, _)| name == "host") {
            request = request.header("host", self.to.to_string());
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let response = sender
            .send_request(request.body(Full::new(self.body))?)
            .await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Fetched {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}
