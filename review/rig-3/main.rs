//! Runs a case of the review: real processes of the deploy file's commands on loopback addresses, with stand-ins for the
//! clients, the runners and the store.
//!
//! usage: rig CASE PROGRAM FOLDER; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod caller;
mod http;
mod moved_origin;
mod moved_store;
mod node;
mod odd_entries;
mod odd_memory;
mod record;
mod runner;
mod sha256;
mod store;
mod weights;

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, and why.
    NotRun(String),
}

/// What a case gets.
pub struct Setup {
    /// Program of the deploy file.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is made.
    pub trouble: bool,
    pub record: Arc<Record>,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [case, program, target] = &args[..] else {
        eprintln!("usage: rig CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("sesamewing-review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    let setup = Setup {
        program: program.into(),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
        record: Arc::new(Record::begin()),
    };
    let verdict = match case.as_str() {
        "moved-store" => moved_store::run(&setup),
        "moved-origin" => moved_origin::run(&setup),
        "odd-entries" => odd_entries::run(&setup),
        "odd-memory" => odd_memory::run(&setup),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("not run: {reason}"), 2),
    };
    setup.record.note(text.clone());
    setup.record.write(&PathBuf::from(target).join("record.txt"));
    println!("trouble={} {text}", setup.trouble);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
    ExitCode::from(code)
}
