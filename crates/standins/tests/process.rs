//! The `sapphirestile-standin` program, run as a child process.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use test_case::test_case;

/// A stand-in as a child process; killed when dropped.
struct StandinProcess {
    child: Child,
    address: String,
}

impl StandinProcess {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sapphirestile-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = line["listening"].as_str().unwrap().to_owned();
        Self { child, address }
    }

    /// Sends a request, given as method and path, on a new connection. Returns the status line
    /// and the body of the response.
    fn call(&self, request: &str, body: &str) -> (String, String) {
        let mut stream = TcpStream::connect(&self.address).unwrap();
        let length = body.len();
        write!(
            stream,
            "{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        let (head, body) = response.split_once("\r\n\r\n").unwrap();
        (head.lines().next().unwrap().to_owned(), body.to_owned())
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

#[test_case(&["store"], "POST /v3/kv/range", r#"{"key":"Zm9v"}"#, r#"{"header":{"revision":"1"},"kvs":[],"count":"0"}"#; "store")]
#[test_case(&["vms", "--lag-ms", "5"], "GET /v1/vms", "", "[]"; "vms")]
#[test_case(&["runner", "--service-ms", "0"], "POST /fit", "collar", "collar"; "runner")]
#[test_case(&["worker", "--cpu-milli", "500"], "GET /history", "", "[]"; "worker")]
fn each_stand_in_prints_its_address_and_responds(
    arguments: &[&str],
    request: &str,
    body: &str,
    response_body: &str,
) {
    let process = StandinProcess::start(arguments);
    let expected = ("HTTP/1.1 200 OK".to_owned(), response_body.to_owned());
    assert_eq!(process.call(request, body), expected);
}

#[test]
fn faults_can_be_set_over_http() {
    let process = StandinProcess::start(&["store"]);
    process.call("POST /faults", r#"{"down":true}"#);
    let (status, body) = process.call("POST /v3/kv/range", r#"{"key":"Zm9v"}"#);
    assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    assert_eq!(body, r#"{"message":"etcdserver: no leader"}"#);
    let (status, _) = process.call("POST /faults", r#"{"dwon":true}"#);
    assert_eq!(status, "HTTP/1.1 400 Bad Request");
}

#[test]
fn a_bad_command_line_is_refused() {
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirestile-standin"))
        .args(["runner", "--slots", "many"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
}
