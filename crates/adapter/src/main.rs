//! Hosts many instances of the decision module behind the simulator's wire: a batch of events in,
//! one line of actions out. It translates and decides nothing.

mod translate;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::BackendEntry;

/// All instances of this process, and the lists that the wire numbers for all of them.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Rules>,
    lists: BTreeMap<u32, Arc<[BackendEntry]>>,
}

impl Host {
    fn answer(&mut self, line: &str) -> Result<wire::Reply, String> {
        let batch: wire::Batch =
            serde_json::from_str(line).map_err(|e| format!("not a batch: {e}"))?;
        let now = Duration::from_nanos(batch.clock);
        let mut reply = wire::Reply::default();
        for happened in batch.happened {
            let (gateway, event) = match happened {
                wire::Happened::Unknown => continue,
                wire::Happened::Register { page, rows_in } => {
                    let entries: Result<_, String> = rows_in.iter().map(translate::entry).collect();
                    self.lists.insert(page, entries?);
                    continue;
                }
                wire::Happened::Begin {
                    gateway_id,
                    rng_seed,
                    facts,
                } => {
                    let settings = damsonbeam_settings::settings(&facts)?;
                    self.instances
                        .insert(gateway_id, Rules::new(rng_seed, settings, now));
                    continue;
                }
                wire::Happened::Shutdown { gateway_id } => {
                    self.instances
                        .remove(&gateway_id)
                        .ok_or_else(|| format!("shutdown names unknown instance {gateway_id}"))?;
                    continue;
                }
                other => match translate::event(other, &self.lists)? {
                    Some(known) => known,
                    None => continue,
                },
            };
            let rules = self
                .instances
                .get_mut(&gateway)
                .ok_or_else(|| format!("event for unknown instance {gateway}"))?;
            let actions = rules.on(now, event);
            reply.output.extend(
                actions
                    .into_iter()
                    .map(|action| translate::output(gateway, action)),
            );
        }
        Ok(reply)
    }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    let (mut line, mut text) = (String::new(), Vec::new());
    for number in 1u64.. {
        line.clear();
        if input
            .read_line(&mut line)
            .map_err(|e| format!("line {number}: {e}"))?
            == 0
        {
            break;
        }
        let reply = host
            .answer(&line)
            .map_err(|e| format!("line {number}: {e}"))?;
        text.clear();
        serde_json::to_writer(&mut text, &reply).map_err(|e| format!("line {number}: {e}"))?;
        text.push(b'\n');
        output
            .write_all(&text)
            .and_then(|()| output.flush())
            .map_err(|e| format!("line {number}: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("damsonbeam-adapter: {}", what.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
