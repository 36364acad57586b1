//! The load generator as a program, against a server whose answers the test decides.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    process::{Command, Output},
    thread,
};

use serde_json::Value;
use sesamewing_standin::answer_text;

const ID: &str = "01a23f42-daea-73c1-9093-6244d38a94c7";

/// Reads one request; returns its path and body.
fn read(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok()?;
        let header = header.trim().to_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(n) = header.strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((path, body))
}

/// Serves completions with the text that `text` makes of the right one; returns the address.
fn serve(text: fn(String) -> String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream, text));
        }
    });
    address
}

fn answer(stream: TcpStream, text: fn(String) -> String) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    while let Some((path, body)) = read(&mut input) {
        let (kind, body) = match path.as_str() {
            "/v1/completions" => completion(&body, text),
            _ => ("application/json", "{}".to_owned()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nSesamewing-Request: {ID}\r\nSesamewing-Version: v1\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        if out.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn completion(body: &[u8], text: fn(String) -> String) -> (&'static str, String) {
    let request: Value = serde_json::from_slice(body).expect("a completion");
    let tokens = request["max_tokens"].as_u64().expect("a number") as u32;
    let text = text(answer_text("v1", ID, tokens));
    let hash = blake3::hash(text.as_bytes()).to_hex().to_string();
    if request["stream"] == true {
        let token = serde_json::json!({"id": ID, "version": "v1", "index": tokens, "text": text});
        let done = serde_json::json!({"id": ID, "version": "v1", "done": true, "tokens": tokens, "hash": hash});
        return (
            "text/event-stream",
            format!("data: {token}\n\ndata: {done}\n\ndata: [DONE]\n\n"),
        );
    }
    let answer = serde_json::json!({"id": ID, "version": "v1", "text": text, "tokens": tokens, "hash": hash});
    ("application/json", answer.to_string())
}

fn run(address: &str, options: &[&str]) -> (Output, Value) {
    let out = Command::new(env!("CARGO_BIN_EXE_sesamewing-load"))
        .args([
            "run",
            "--entries",
            address,
            "--mix",
            "models",
            "--seed",
            "7",
        ])
        .args(options)
        .output()
        .expect("the program runs");
    let json = serde_json::from_slice(&out.stdout).expect("a summary");
    (out, json)
}

/// Guards against a generator that accepts a second answer with the same request id, or counts a right one as wrong.
#[test]
fn right_answers_pass_once() {
    let address = serve(|text| text);
    let (out, json) = run(&address, &["--rate", "20", "--seconds", "1"]);
    let n = json["requests"].as_u64().expect("a number");
    assert!(n > 1, "{json}");
    // All answers name one id, so that all but the first one are violations.
    assert_eq!(json["violations"]["wrong_answers"], n - 1, "{json}");
    assert_eq!(json["violations"]["cut_answers"], 0, "{json}");
    assert_eq!(out.status.code(), Some(1));
}

/// Guards against a generator that takes an answer with missing tokens for a whole one.
#[test]
fn cut_answers_are_found() {
    let address = serve(|text| text[..text.len() - 4].to_owned());
    let (out, json) = run(&address, &["--rate", "20", "--seconds", "1"]);
    assert_eq!(
        json["violations"]["cut_answers"], json["requests"],
        "{json}"
    );
    assert_eq!(out.status.code(), Some(1));
}

/// Guards against a generator that takes the answer to another request for the right one.
#[test]
fn foreign_answers_are_found() {
    let address = serve(|text| text.replace(ID, "01a23f42-0000-73c1-9093-6244d38a94c7"));
    let (_, json) = run(&address, &["--rate", "20", "--seconds", "1"]);
    assert_eq!(
        json["violations"]["wrong_answers"], json["requests"],
        "{json}"
    );
}

/// Guards against results that cannot be repeated from their seed.
#[test]
fn arrivals_follow_the_seed() {
    let address = serve(|text| text);
    let dir = tempfile::tempdir().expect("a folder");
    let columns = |name: &str| {
        let out = dir.path().join(name);
        let path = out.to_str().expect("a path");
        run(&address, &["--rate", "20", "--seconds", "1", "--out", path]);
        assert!(out.join("load.svg").exists() && out.join("result.json").exists());
        let csv = std::fs::read_to_string(out.join("requests.csv")).expect("the table");
        csv.lines()
            .map(|l| l.split(',').take(3).collect::<Vec<_>>().join(","))
            .collect::<Vec<_>>()
    };
    let first = columns("a");
    assert!(first.len() > 2);
    assert_eq!(first, columns("b"));
}
