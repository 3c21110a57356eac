//! Probes of a real proxy with raw requests that no well-behaved client sends: malformed, truncated, or
//! over the limits.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context as AnyhowContext};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use runtime::http::Fetch;
use runtime::scenario::{Scenario, Traffic};

/// Request id of all truncated requests. An instance must never run a request with this id.
pub const TRUNCATED_REQUEST_ID: &str = "probe-half";

/// Sends bytes on a new connection and reads the start of the response. If `close_write` is set, the write
/// side of the connection is closed after the bytes.
async fn send_raw(to: SocketAddr, bytes: &[u8], close_write: bool) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(bytes).await?;
    if close_write {
        stream.shutdown().await?;
    }
    let mut response = vec![0; 2048];
    let timeout = Duration::from_secs(5);
    let length = tokio::time::timeout(timeout, stream.read(&mut response)).await??;
    response.truncate(length);
    Ok(String::from_utf8_lossy(&response).to_string())
}

/// Body size of the long responses: more than the proxy buffers, so that it streams them.
const LONG_BODY: usize = 300_000;

/// Requests a long response on a new connection; returns the number of body bytes received.
async fn fetch_long_response(to: SocketAddr, read: &Traffic) -> anyhow::Result<usize> {
    let mut stream = TcpStream::connect(to).await?;
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\nx-answer-bytes: {LONG_BODY}\r\nconnection: close\r\n\r\n",
        read.path, read.host
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    // Errors are ignored: an aborted connection is an expected result of a truncated response.
    let _ = tokio::time::timeout(Duration::from_secs(8), stream.read_to_end(&mut response)).await;
    let head = response
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .context("the response has no complete header section")?
        + 4;
    if !response.starts_with(b"HTTP/1.1 200") {
        bail!("{}", String::from_utf8_lossy(&response[..head]));
    }
    Ok(response.len() - head)
}

/// Makes each instance truncate this many responses.
async fn truncate_responses(instances: &[SocketAddr], count: u32) {
    let body = jzon::object! { kind: "truncate", count: count }.dump();
    for instance in instances {
        // Errors are ignored: some instances may be down, and the remaining ones are enough.
        let _ = Fetch::post(*instance, "/understudy/ail", body.clone())
            .send()
            .await;
    }
}

/// Checks that a long response arrives completely, and that a response truncated by the instance does not
/// look complete to the client.
async fn probe_long_responses(
    proxy: SocketAddr,
    read: &Traffic,
    instances: &[SocketAddr],
) -> Vec<String> {
    let mut faults = Vec::new();
    match fetch_long_response(proxy, read).await {
        Ok(LONG_BODY) => {}
        other => faults.push(format!(
            "long response: expected {LONG_BODY} bytes, got {other:?}"
        )),
    }
    truncate_responses(instances, 4).await;
    match fetch_long_response(proxy, read).await {
        Ok(length) if length < LONG_BODY => println!("body truncated after {length} bytes"),
        Err(error) if error.to_string().starts_with("HTTP/1.1 502") => {
            println!("truncated response rejected before any of it was forwarded");
        }
        other => faults.push(format!(
            "truncated long response: expected a partial body or status 502, got {other:?}"
        )),
    }
    // Truncations that are left over would affect the complete response if the probes are repeated.
    truncate_responses(instances, 0).await;
    faults
}

/// Probes a proxy and returns a description of each response that differs from the expected one.
pub async fn probe(
    proxy: SocketAddr,
    scenario: &Scenario,
    instances: &[SocketAddr],
) -> Vec<String> {
    let find = |keyed: bool, method: &Method| {
        scenario
            .traffic
            .iter()
            .find(|kind| (kind.keys > 0) == keyed && kind.method == *method)
    };
    let (Some(read), Some(write), Some(upload)) = (
        find(false, &Method::GET),
        find(false, &Method::POST),
        find(true, &Method::POST),
    ) else {
        return vec![
            "the scenario has no GET, no POST or no POST with keys to probe with".to_string(),
        ];
    };
    let host = format!("host: {}\r\n", read.host);
    let post = |path: &str, rest: &str| {
        format!("POST {path} HTTP/1.1\r\n{host}x-caller-order: {TRUNCATED_REQUEST_ID}\r\n{rest}")
    };
    let get = |version: &str, rest: &str| format!("GET {} {version}\r\n{rest}\r\n", read.path);
    let (path, keyed) = (write.path.as_str(), upload.path.as_str());
    let part = "x".repeat(200_000);
    let probes: Vec<(&str, String, bool, &str)> = vec![
        ("no host header", get("HTTP/1.1", ""), false, "400 not-run"),
        (
            "two host headers",
            get("HTTP/1.1", &format!("{host}{host}")),
            false,
            "400 not-run",
        ),
        ("HTTP/1.0", get("HTTP/1.0", &host), false, "400 not-run"),
        (
            "connection upgrade",
            get(
                "HTTP/1.1",
                &format!("{host}connection: upgrade\r\nupgrade: x\r\n"),
            ),
            false,
            "400 not-run",
        ),
        (
            "content-length and transfer-encoding",
            post(
                path,
                "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            false,
            "400 not-run",
        ),
        (
            "transfer-encoding and content-length",
            post(
                path,
                "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
            ),
            false,
            "400 not-run",
        ),
        (
            "two content-length headers",
            post(path, "content-length: 3\r\ncontent-length: 4\r\n\r\nabc"),
            false,
            "400",
        ),
        (
            "not HTTP",
            "\u{1}\u{2} nothing\r\n\r\n".to_string(),
            false,
            "400",
        ),
        (
            "no key header",
            post(keyed, "content-length: 1\r\n\r\nx"),
            false,
            "400 not-run",
        ),
        (
            "body over the limit",
            post(keyed, "x-key: a\r\ncontent-length: 99999999999\r\n\r\n"),
            false,
            "413 not-run",
        ),
        (
            "no matching route",
            format!("GET /no/such/rule HTTP/1.1\r\n{host}\r\n"),
            false,
            "404 not-run",
        ),
        (
            "truncated small body",
            post(path, "content-length: 100\r\n\r\nx"),
            true,
            "400 not-run",
        ),
        (
            "truncated large body",
            post(
                keyed,
                &format!("x-key: a\r\ncontent-length: 1000000\r\n\r\n{part}"),
            ),
            true,
            "502 unknown",
        ),
    ];
    let mut faults = Vec::new();
    for (name, bytes, close_write, expected) in probes {
        let response = match send_raw(proxy, bytes.as_bytes(), close_write).await {
            Ok(response) => response,
            Err(error) => {
                faults.push(format!("{name}: {error}"));
                continue;
            }
        };
        let (status, outcome) = expected.split_once(' ').unwrap_or((expected, ""));
        let status_line = response.lines().next().unwrap_or_default();
        let reported = response
            .lines()
            .find_map(|line| line.strip_prefix("caperworks-outcome: "))
            .unwrap_or_default();
        if !status_line.contains(&format!(" {status} "))
            || (!outcome.is_empty() && reported != outcome)
        {
            faults.push(format!(
                "{name}: expected {expected}, got {status_line}, {reported}"
            ));
        }
    }
    faults.extend(probe_long_responses(proxy, read, instances).await);
    faults
}
