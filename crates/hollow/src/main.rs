//! `damsonbeam-hollow`: a series of runs along one axis, each on a cluster of its own.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use damsonbeam_hollow::report::{self, Outcome};
use damsonbeam_hollow::run::{Found, Plan, run};
use damsonbeam_hollow::{Error, meter};

/// Measures the control side at size: real registries and stores, proxies without a data plane.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Core machines
    #[bpaf(fallback(8))]
    machines: usize,
    #[bpaf(fallback(30))]
    proxies: usize,
    #[bpaf(fallback(300))]
    backends: usize,
    #[bpaf(fallback(300))]
    routes: usize,
    #[bpaf(fallback(1000))]
    tenants: usize,
    #[bpaf(fallback(20))]
    services: usize,
    /// Items of a call that loads the configuration
    #[bpaf(fallback(2000))]
    batch: usize,
    /// Longest time until the configuration is loaded
    #[bpaf(fallback(60.0))]
    load: f64,
    /// Entries of a page of the platform's list
    #[bpaf(fallback(50))]
    page: usize,
    /// Calls a second that the platform takes
    #[bpaf(fallback(50.0))]
    platform_rate: f64,
    /// Requests a second at each proxy
    #[bpaf(fallback(0.0))]
    requests: f64,
    /// Changes of the configuration a second
    #[bpaf(fallback(0.0))]
    changes: f64,
    /// Backends replaced a second
    #[bpaf(fallback(0.0))]
    backend_churn: f64,
    /// Proxies restarted a second
    #[bpaf(fallback(0.0))]
    restarts: f64,
    /// Proxies started a second at the beginning
    #[bpaf(fallback(100.0))]
    ramp: f64,
    /// Longest time until all proxies know all
    #[bpaf(fallback(40.0))]
    settle: f64,
    /// Time that is measured
    #[bpaf(fallback(10.0))]
    seconds: f64,
    /// Threads that the proxies share
    #[bpaf(fallback(3))]
    threads: usize,
    /// The coordinator's machine is killed in the middle
    kill_coordinator: bool,
    /// Settings and logs of the core machines stay in the system's folder for temporary files
    keep_logs: bool,
    /// Folder of the programs; by itself that of this one
    programs: Option<PathBuf>,
    /// One of the numbers above and the values that it takes in turn, as in `proxies=10,30,100`
    #[bpaf(fallback(Axis::default()))]
    vary: Axis,
    /// Folder for what is found
    out: PathBuf,
}

#[derive(Clone, Debug, Default)]
struct Axis {
    name: String,
    values: Vec<f64>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, values) = text
            .split_once('=')
            .ok_or("NAME=VALUE,VALUE... is wanted")?;
        let values: Result<Vec<f64>, _> = values.split(',').map(str::parse).collect();
        Ok(Axis {
            name: name.into(),
            values: values.map_err(|e| e.to_string())?,
        })
    }
}

impl Options {
    fn plan(&self) -> Result<Plan, Error> {
        let programs = match &self.programs {
            Some(folder) => folder.clone(),
            None => std::env::current_exe()?
                .parent()
                .ok_or("no folder of this program")?
                .into(),
        };
        Ok(Plan {
            machines: self.machines,
            proxies: self.proxies,
            backends: self.backends,
            routes: self.routes,
            tenants: self.tenants,
            services: self.services,
            batch: self.batch,
            load_s: self.load,
            page: self.page,
            platform_rate: self.platform_rate,
            requests: self.requests,
            changes: self.changes,
            backend_churn: self.backend_churn,
            restarts: self.restarts,
            ramp: self.ramp,
            settle_s: self.settle,
            seconds: self.seconds,
            threads: self.threads,
            kill_coordinator: self.kill_coordinator,
            programs,
            folder: std::env::temp_dir().join(format!("damsonbeam-hollow-{}", std::process::id())),
        })
    }
}

fn set(plan: &mut Plan, name: &str, value: f64) -> Result<(), Error> {
    match name {
        "" => {}
        "machines" => plan.machines = value as usize,
        "proxies" => plan.proxies = value as usize,
        "backends" => plan.backends = value as usize,
        "routes" => plan.routes = value as usize,
        "tenants" => plan.tenants = value as usize,
        "requests" => plan.requests = value,
        "changes" => plan.changes = value,
        "backend-churn" => plan.backend_churn = value,
        "restarts" => plan.restarts = value,
        other => return Err(format!("--vary: no axis `{other}`").into()),
    }
    Ok(())
}

fn line(axis: &str, at: f64, found: &Found) -> String {
    format!(
        "{axis}={at}: loaded in {:.1} s, {} settled in {:.1} s; coordinator {:.3} core {:.1} MB, registry {:.3} core {:.1} MB, store {:.3} core {:.1} MB, \
         proxy {:.5} core {:.0} KB, {:.0} B/s in, {:.0} B/s out; in force {:.0} ms at most; load {:.0}",
        found.load_s,
        found.settled,
        found.settle_s,
        found.coordinator_core,
        found.coordinator_mb,
        found.registry_core,
        found.registry_mb,
        found.store_core_most,
        found.store_mb,
        found.proxy_core,
        found.proxy_kb,
        found.proxy_in_s,
        found.proxy_out_s,
        found.in_force_ms_most,
        found.load_average_after,
    )
}

fn series(options: &Options) -> Result<bool, Error> {
    let axis = &options.vary;
    let values = if axis.values.is_empty() {
        vec![0.0]
    } else {
        axis.values.clone()
    };
    let mut outcomes = Vec::new();
    let mut is_complete = true;
    for at in values {
        let mut plan = options.plan()?;
        set(&mut plan, &axis.name, at)?;
        let outcome = run(&plan);
        if !options.keep_logs {
            std::fs::remove_dir_all(&plan.folder).ok();
        }
        let (found, error) = match outcome {
            Ok(found) => {
                println!("{}", line(&axis.name, at, &found));
                is_complete &= found.settled == plan.proxies;
                (Some(found), None)
            }
            Err(e) => {
                println!("{}={at}: {e}", axis.name);
                is_complete = false;
                (None, Some(e.to_string()))
            }
        };
        outcomes.push(Outcome {
            axis: axis.name.clone(),
            at,
            plan,
            found,
            error,
        });
        report::write(&options.out, &outcomes)?;
    }
    Ok(is_complete)
}

fn main() -> ExitCode {
    let options = options().run();
    meter::start();
    match series(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("damsonbeam-hollow: {e}");
            ExitCode::FAILURE
        }
    }
}
