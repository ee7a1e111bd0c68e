//! `trouttrackctl` as a process.

mod args;

use args::Trouttrackctl;
use std::path::Path;
use std::process::ExitCode;
use trouttrack_config::fleet::read_file;
use trouttrackctl::client::ApiClient;
use trouttrackctl::interactive::Reader;
use trouttrackctl::{Exit, Session};

const DEFAULT_URL: &str = "http://127.0.0.1:8081";
const KEY_VARIABLE: &str = "TROUTTRACK_KEY";

fn main() -> ExitCode {
    let args = Trouttrackctl::from_env_or_exit();
    if args.version {
        println!("trouttrackctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let [verb, file] = args.words.as_slice()
        && verb == "check"
    {
        return check(Path::new(file)).into();
    }
    let exit = actix_rt::System::new().block_on(run(args));
    exit.into()
}

/// Checks a fleet file without sending it.
fn check(file: &Path) -> Exit {
    match read_file(file) {
        Ok(_) => {
            println!("{}: fine", file.display());
            Exit::Done
        }
        Err(findings) => {
            eprintln!("{findings}");
            Exit::Usage
        }
    }
}

fn key(file: Option<&Path>) -> Result<String, String> {
    match file {
        Some(file) => std::fs::read_to_string(file)
            .map(|k| k.trim().to_owned())
            .map_err(|e| format!("{}: {e}", file.display())),
        None => std::env::var(KEY_VARIABLE)
            .map_err(|_| format!("set {KEY_VARIABLE} or give --key-file")),
    }
}

fn session(args: &Trouttrackctl) -> Result<Session, String> {
    let url = args.url.as_deref().unwrap_or(DEFAULT_URL);
    let key = key(args.key_file.as_deref())?;
    let client = ApiClient::new(url, &key, args.ca.as_deref()).map_err(|e| e.to_string())?;
    Ok(Session {
        client,
        json: args.json,
        base: args.base,
        times: args.times,
    })
}

async fn run(args: Trouttrackctl) -> Exit {
    let session = match session(&args) {
        Ok(session) => session,
        Err(e) => {
            eprintln!("trouttrackctl: {e}");
            return Exit::Usage;
        }
    };
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => interactive(&session).await,
        ["apply", file] => match std::fs::read_to_string(file) {
            Ok(ini) => session.apply(ini).await,
            Err(e) => {
                eprintln!("{file}: {e}");
                Exit::Usage
            }
        },
        ["export"] => session.export().await,
        ["change", id, base] => match base.parse() {
            Ok(base) => session.change_state(id, base).await,
            Err(_) => {
                eprintln!("`{base}` is not a version");
                Exit::Usage
            }
        },
        words => session.run(&rejoin(words)).await,
    }
}

/// Puts the quotes back that the shell took off a value with blanks.
fn rejoin(words: &[&str]) -> String {
    let quoted = |word: &&str| match word.split_once('=') {
        Some((field, value)) if value.contains(char::is_whitespace) => {
            format!("{field}=\"{value}\"")
        }
        _ if word.contains(char::is_whitespace) && words.len() > 1 => format!("\"{word}\""),
        _ => (*word).to_owned(),
    };
    let words: Vec<String> = words.iter().map(quoted).collect();
    words.join(" ")
}

/// Reads commands until the end of the input. Ends with the last one's code.
async fn interactive(session: &Session) -> Exit {
    let mut reader = match Reader::new() {
        Ok(reader) => reader,
        Err(e) => {
            eprintln!("trouttrackctl: {e}");
            return Exit::Usage;
        }
    };
    let mut last = Exit::Done;
    while let Some(line) = reader.line() {
        match line.as_str() {
            "exit" | "quit" => break,
            line => last = session.run(line).await,
        }
    }
    last
}
