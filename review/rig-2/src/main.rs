//! Runs one case of the second review: `review_rig_2 CASE FOLDER`, at the root of the repository.
//!
//! Writes `record.txt` into the folder. Exits with 1 if the rule was broken, with 0 if it held
//! and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

#![allow(dead_code)]

#[path = "../../rig/src/client.rs"]
mod client;
#[path = "../../rig/src/fleet.rs"]
mod fleet;
#[path = "../../rig/src/http.rs"]
mod http;
#[path = "../../rig/src/json.rs"]
mod json;
mod late_arrivals;
mod link;
#[path = "../../rig/src/record.rs"]
mod record;
#[path = "../../rig/src/store.rs"]
mod store;
#[path = "../../rig/src/worker.rs"]
mod worker;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case found out.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

/// Where a case runs.
pub struct Bed {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub dir: PathBuf,
    /// First three numbers of the loopback addresses of this run.
    pub net: String,
    /// Whether the disruption is part of the run.
    pub trouble: bool,
    pub record: Record,
}

impl Bed {
    /// A loopback address of this run.
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("review_rig_2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let id = std::process::id();
    let dir = std::env::temp_dir().join(format!("trouttrack-review-2-{case}-{id}"));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        eprintln!("{}: {e}", dir.display());
        return ExitCode::from(2);
    }
    let bed = Bed {
        root: std::env::current_dir().unwrap_or_default(),
        dir: dir.clone(),
        net: format!("127.{}.{}", 64 + id % 128, id / 128 % 256),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: Record::create(&Path::new(folder).join("record.txt")),
    };
    let verdict = match case.as_str() {
        "late-arrivals" => late_arrivals::run(&bed),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::Held(why) => (0, format!("held: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    bed.record.line(&text);
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("{}", dir.display());
    }
    ExitCode::from(code)
}
