//! Carries out commands and prints what comes back.

use crate::client::{ApiAnswer, ApiClient, ClientError};
use crate::exit::Exit;
use crate::output;
use std::io::Write as _;
use std::time::Duration;
use trouttrack_controller::changes::ChangeAnswer;
use trouttrack_controller::http::{RowsBody, WhyBody};
use trouttrack_language::{Command, parse};

/// Pause between two looks of `watch`.
const WATCH: Duration = Duration::from_secs(1);

/// A connection to one API, with how to print.
#[derive(Debug)]
pub struct Session {
    /// The API.
    pub client: ApiClient,
    /// Whether answers are printed as the API gave them.
    pub json: bool,
    /// The version that the operator saw, if changes depend on it.
    pub base: Option<u64>,
    /// How often `watch` looks; for ever if not given.
    pub times: Option<u32>,
}

fn print(text: &str) {
    // Output that nobody reads any more is no error.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

impl Session {
    /// Carries out one command of the language.
    pub async fn run(&self, text: &str) -> Exit {
        let command = match parse(text) {
            Ok(command) => command,
            Err(e) => {
                eprintln!("{e}");
                return Exit::Usage;
            }
        };
        match command {
            Command::Watch(_) => self.watch(text).await,
            Command::Show(_) | Command::Diff(..) => self.rows(text).await,
            Command::Why(_) => self.why(text).await,
            _ => self.change(self.client.command(text, self.base).await),
        }
    }

    /// Puts a fleet file in force.
    pub async fn apply(&self, ini: String) -> Exit {
        self.change(self.client.apply(ini, self.base).await)
    }

    /// Prints the configuration as a fleet file.
    pub async fn export(&self) -> Exit {
        let answer = match self.answer(self.client.export().await) {
            Ok(answer) => answer,
            Err(exit) => return exit,
        };
        print(&answer.text);
        Exit::Done
    }

    /// Prints what became of a change.
    pub async fn change_state(&self, id: &str, base: u64) -> Exit {
        let answer = match self.answer(self.client.change_state(id, base).await) {
            Ok(answer) => answer,
            Err(exit) => return exit,
        };
        print(&format!("{}\n", answer.text));
        Exit::Done
    }

    /// Sorts out answers that are errors.
    fn answer(&self, answer: Result<ApiAnswer, ClientError>) -> Result<ApiAnswer, Exit> {
        let answer = answer.map_err(|e| {
            eprintln!("{e}");
            Exit::Unavailable
        })?;
        let Some(message) = answer.error_message() else {
            return Ok(answer);
        };
        eprintln!("{message}");
        Err(match answer.status {
            400 => Exit::Usage,
            503 => Exit::Unavailable,
            _ => Exit::Refused,
        })
    }

    async fn rows(&self, text: &str) -> Exit {
        let answer = match self.answer(self.client.command(text, None).await) {
            Ok(answer) => answer,
            Err(exit) => return exit,
        };
        if self.json {
            print(&format!("{}\n", answer.text));
            return Exit::Done;
        }
        match serde_json::from_value::<RowsBody>(answer.json) {
            Ok(body) => {
                print(&output::table(&body.rows));
                note_unreachable(&body.unreachable);
                Exit::Done
            }
            Err(e) => garbled(&e),
        }
    }

    async fn watch(&self, text: &str) -> Exit {
        let mut left = self.times.unwrap_or(u32::MAX);
        loop {
            let exit = self.rows(text).await;
            left = left.saturating_sub(1);
            if exit != Exit::Done || left == 0 {
                return exit;
            }
            tokio::time::sleep(WATCH).await;
        }
    }

    async fn why(&self, text: &str) -> Exit {
        let answer = match self.answer(self.client.command(text, None).await) {
            Ok(answer) => answer,
            Err(exit) => return exit,
        };
        if self.json {
            print(&format!("{}\n", answer.text));
            return Exit::Done;
        }
        let body = match serde_json::from_value::<WhyBody>(answer.json) {
            Ok(body) => body,
            Err(e) => return garbled(&e),
        };
        for finding in &body.findings {
            print(&format!("{finding}\n"));
        }
        for decision in &body.decisions {
            let rows: Vec<_> = decision
                .candidates
                .iter()
                .filter_map(|c| serde_json::to_value(c).ok()?.as_object().cloned())
                .collect();
            print(&output::table(&rows));
        }
        note_unreachable(&body.unreachable);
        Exit::Done
    }

    fn change(&self, answer: Result<ApiAnswer, ClientError>) -> Exit {
        let answer = match answer {
            // The change was sent; without an answer its fate is open.
            Err(ClientError::NoAnswer(base, e)) => {
                eprintln!("{base} does not answer: {e}");
                eprintln!("see `show history` for whether the change was committed");
                return Exit::Unsettled;
            }
            other => match self.answer(other) {
                Ok(answer) => answer,
                Err(exit) => return exit,
            },
        };
        match serde_json::from_value::<ChangeAnswer>(answer.json) {
            Ok(change) => {
                match self.json {
                    true => print(&format!("{}\n", answer.text)),
                    false => print(&output::change(&change)),
                }
                output::change_exit(change.outcome)
            }
            Err(e) => garbled(&e),
        }
    }
}

fn note_unreachable(unreachable: &[String]) {
    if !unreachable.is_empty() {
        print(&format!("no answer from: {}\n", unreachable.join(", ")));
    }
}

fn garbled(e: &serde_json::Error) -> Exit {
    eprintln!("the answer cannot be read: {e}");
    Exit::Unavailable
}
