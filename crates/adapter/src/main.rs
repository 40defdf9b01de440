//! Runs many instances of the decision module for the simulator. Each input line is a batch of events; each output line
//! holds the resulting actions. The adapter only translates between the simulator's format and the module's types; all
//! decisions are made by the module.

mod translate;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;

use damsonbeam::Rules;

use translate::{GatewayEvent, Lists, TranslateError};
use wire::{Batch, Reply, WireEvent};

/// The reason why an input line can't be processed.
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

/// The error with which the adapter exits.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
struct RunError {
    number: u64,
    error: LineError,
}

/// The module instances by gateway id, and the backend lists shared by all of them.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Rules>,
    lists: Lists,
}

impl Host {
    /// Processes a line with a batch of events; returns the actions of all instances.
    fn process_line(&mut self, line: &str) -> Result<Reply, LineError> {
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
                    damsonbeam_settings::to_settings(&facts).map_err(LineError::Settings)?;
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
                Some(event) => self.dispatch(event, now, reply),
                None => Ok(()),
            },
        }
    }

    fn dispatch(
        &mut self,
        event: GatewayEvent,
        now: Duration,
        reply: &mut Reply,
    ) -> Result<(), LineError> {
        let GatewayEvent { gateway_id, event } = event;
        let rules = self.instances.get_mut(&gateway_id);
        let rules = rules.ok_or(LineError::UnknownInstance(gateway_id))?;
        let actions = rules.handle_event(now, event).into_iter();
        let actions = actions.map(|action| translate::action(gateway_id, action));
        reply.output.extend(actions);
        Ok(())
    }
}

/// Processes input lines until the end of the input.
fn run() -> Result<(), RunError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    let mut buffer = Vec::new();
    for number in 1u64.. {
        let line_error = |error: LineError| RunError { number, error };
        line.clear();
        let read = input.read_line(&mut line);
        if read.map_err(|error| line_error(error.into()))? == 0 {
            break;
        }
        let reply = host.process_line(&line).map_err(line_error)?;
        buffer.clear();
        write_reply(&reply, &mut buffer, &mut output).map_err(line_error)?;
    }
    Ok(())
}

fn write_reply(
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
