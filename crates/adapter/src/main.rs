//! Hosts many instances of the decision module behind the simulator's wire: a batch of events in,
//! one line of actions out. It translates and decides nothing.

mod translate;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;

use damsonbeam::Rules;

use translate::{GatewayEvent, Lists, TranslateError};
use wire::{Batch, Reply, WireEvent};

/// Why a line can't be answered.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("not a batch: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    Event(#[from] TranslateError),
    #[error("{0}")]
    Settings(String),
    #[error("shutdown names unknown instance {0}")]
    UnknownShutdown(u32),
    #[error("event for unknown instance {0}")]
    UnknownInstance(u32),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why the adapter ends.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
struct RunError {
    number: u64,
    error: LineError,
}

/// All instances of this process, and the lists that the wire numbers for all of them.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Rules>,
    lists: Lists,
}

impl Host {
    /// Answers a batch of events.
    fn answer(&mut self, line: &str) -> Result<Reply, LineError> {
        let batch: Batch = serde_json::from_str(line)?;
        let now = Duration::from_nanos(batch.clock_ns);
        let mut reply = Reply::default();
        for event in batch.happened {
            self.handle(event, now, &mut reply)?;
        }
        Ok(reply)
    }

    fn handle(
        &mut self,
        event: WireEvent,
        now: Duration,
        reply: &mut Reply,
    ) -> Result<(), LineError> {
        match event {
            WireEvent::Unknown => Ok(()),
            WireEvent::Register { page, rows_in } => {
                let entries = rows_in.iter().map(translate::entry).collect();
                self.lists.insert(page, entries);
                Ok(())
            }
            WireEvent::Begin {
                gateway_id,
                rng_seed,
                facts,
            } => {
                let settings =
                    damsonbeam_settings::settings(&facts).map_err(LineError::Settings)?;
                let rules = Rules::new(rng_seed, settings, now);
                self.instances.insert(gateway_id, rules);
                Ok(())
            }
            WireEvent::Shutdown { gateway_id } => {
                let removed = self.instances.remove(&gateway_id);
                removed.ok_or(LineError::UnknownShutdown(gateway_id))?;
                Ok(())
            }
            other => match translate::event(other, &self.lists)? {
                Some(event) => self.decide(event, now, reply),
                None => Ok(()),
            },
        }
    }

    fn decide(
        &mut self,
        event: GatewayEvent,
        now: Duration,
        reply: &mut Reply,
    ) -> Result<(), LineError> {
        let GatewayEvent { gateway_id, event } = event;
        let rules = self.instances.get_mut(&gateway_id);
        let rules = rules.ok_or(LineError::UnknownInstance(gateway_id))?;
        let actions = rules.on(now, event).into_iter();
        let actions = actions.map(|action| translate::action(gateway_id, action));
        reply.output.extend(actions);
        Ok(())
    }
}

/// Answers lines until the input ends.
fn run() -> Result<(), RunError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    let mut answer = Vec::new();
    for number in 1u64.. {
        let failed = |error: LineError| RunError { number, error };
        line.clear();
        let read = input.read_line(&mut line);
        if read.map_err(|error| failed(error.into()))? == 0 {
            break;
        }
        let reply = host.answer(&line).map_err(failed)?;
        answer.clear();
        write_answer(&reply, &mut answer, &mut output).map_err(failed)?;
    }
    Ok(())
}

fn write_answer(
    reply: &Reply,
    buffer: &mut Vec<u8>,
    output: &mut impl Write,
) -> Result<(), LineError> {
    serde_json::to_writer(&mut *buffer, reply).map_err(io::Error::from)?;
    buffer.push(b'\n');
    output.write_all(buffer)?;
    output.flush()?;
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let text = error.to_string().replace('\n', " ");
            eprintln!("damsonbeam-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
