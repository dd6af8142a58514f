//! The cases.

use std::time::Duration;

use crate::json::Json;
use crate::mesh::{
    CONFIG_APPLY_S, CONTACT_S, Clients, DRAIN_S, Deployment, Instance, Kind, Record, Route,
    SIGTERM, config, give_up, now_ms, outcomes, sleep, trouble, until,
};

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/find/",
        kind: "safe",
        service: "booking",
    },
    Route {
        prefix: "/book/",
        kind: "unsafe",
        service: "booking",
    },
];

fn kinds(count: usize) -> Vec<Kind> {
    (0..count)
        .map(|index| Kind {
            method: if index % 2 == 0 { "GET" } else { "POST" },
            path: if index % 2 == 0 {
                "/find/unit"
            } else {
                "/book/unit"
            }
            .to_owned(),
            deadline: Duration::from_secs(3),
            pause: Duration::from_millis(20),
        })
        .collect()
}

/// Requests that reached the instance later than `DrainS` after the acknowledgement of its leaving, and
/// not before `from`.
fn late_arrivals(record: &Record, id: &str, acknowledged: f64, from: f64) -> usize {
    let runs = record.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.instance == id && run.at > from.max(acknowledged + DRAIN_S))
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.note(&format!(
            "{} requests reached {id} later than {DRAIN_S} s after the acknowledgement: the first {:.2} s after it \
             (request {}), the last {:.2} s after it",
            late.len(),
            first.at - acknowledged,
            first.request,
            last.at - acknowledged
        ));
    }
    late.len()
}

/// Lets an instance leave as the pages say: it drains, serves on for `DrainS` and a little longer, and
/// ends. Returns when its leaving was acknowledged.
fn leave(instance: &mut Instance) -> Option<f64> {
    let acknowledged = instance.drain();
    sleep(DRAIN_S + 2.0);
    instance.leave();
    acknowledged
}

/// Three machines, with clients on the first, and booking instances on the others.
fn deployment() -> Deployment {
    let config = config(1, &["desk", "booking"], &ROUTES);
    let deployment = Deployment::start(
        &[
            ("bkk-a", "desk"),
            ("bkk-a", "booking"),
            ("bkk-b", "booking"),
        ],
        &config,
    );
    deployment.until_ready();
    deployment
}

fn judge(deployment: &Deployment, id: &str, acknowledged: Option<f64>, from: f64) -> i32 {
    let record = &deployment.record;
    record.note(&format!(
        "answers since the drain: {:?}",
        outcomes(record, |sent| sent.sent >= from)
    ));
    let Some(acknowledged) = acknowledged else {
        record.note("the leaving was not acknowledged, so that the rule does not apply");
        return 0;
    };
    if late_arrivals(record, id, acknowledged, 0.0) > 0 {
        record.note("DRAIN is broken");
        return 1;
    }
    record.note("DRAIN held");
    0
}

/// An instance starts again under its id after the clock of its machine was set back.
pub fn clock() -> i32 {
    let mut deployment = deployment();
    let record = deployment.record.clone();
    let other = Instance::start(
        "i-other",
        now_ms(),
        &deployment.place(3, "booking", 100),
        &record,
    );
    let place = deployment.place(2, "booking", 100);
    let mut instance = Instance::start("i-again", now_ms(), &place, &record);
    let clients = Clients::start(&deployment.machines[0], &kinds(8), &record);
    sleep(1.0);
    instance.crash();
    sleep(0.4);
    // The clock of the machine is set back by 2 s.
    let step_ms = if trouble() { 2_000 } else { 0 };
    record.note(&format!(
        "the clock of {} is set back by {step_ms} ms",
        deployment.machines[1].name
    ));
    let mut instance = Instance::start("i-again", now_ms() - step_ms, &place, &record);
    sleep(CONTACT_S + 3.0);
    let from = record.now();
    let acknowledged = leave(&mut instance);
    sleep(2.0);
    clients.stop();
    let code = judge(&deployment, "i-again", acknowledged, from);
    drop(other);
    deployment.machines.clear();
    code
}

/// Another writer sends a heartbeat with missing fields under the id of an instance.
pub fn forged() -> i32 {
    let mut deployment = deployment();
    let record = deployment.record.clone();
    let other = Instance::start(
        "i-other",
        now_ms(),
        &deployment.place(3, "booking", 100),
        &record,
    );
    let place = deployment.place(2, "booking", 100);
    let mut instance = Instance::start("i-real", now_ms(), &place, &record);
    let clients = Clients::start(&deployment.machines[0], &kinds(8), &record);
    sleep(4.0);
    if trouble() {
        // Version, ColdLeftS and the instance's Address are missing or of another type.
        let body = format!(
            "{{\"Address\":7,\"Info\":{{\"Service\":\"booking\",\"Zone\":[],\"Slots\":12}},\
             \"Status\":{{\"State\":\"ready\",\"Sequence\":900}},\"born\":{}}}",
            instance.life.born
        );
        let answer = instance.life.call("PUT", &body);
        record.note(&format!(
            "another writer sends the heartbeat {body}: {answer:?}"
        ));
    }
    sleep(CONTACT_S + 2.0);
    let from = record.now();
    let acknowledged = leave(&mut instance);
    sleep(2.0);
    clients.stop();
    let code = judge(&deployment, "i-real", acknowledged, from);
    drop(other);
    deployment.machines.clear();
    code
}

/// Open connections to one machine go silent while instances of a new service are added elsewhere.
pub fn silent() -> i32 {
    let first = config(1, &["desk", "booking"], &ROUTES);
    let places = [
        ("bkk-a", "desk"),
        ("bkk-a", "desk"),
        ("bkk-a", "booking"),
        ("bkk-a", "desk"),
        ("cnx-a", "booking"),
    ];
    let mut deployment = Deployment::start_behind_relays(&places, &first, true);
    deployment.until_ready();
    let record = deployment.record.clone();
    let instances = [
        Instance::start(
            "i-3",
            now_ms(),
            &deployment.place(3, "booking", 50),
            &record,
        ),
        Instance::start(
            "i-5",
            now_ms(),
            &deployment.place(5, "booking", 50),
            &record,
        ),
    ];
    sleep(3.0);
    // A machine that doesn't read the store for its zone.
    let reader = deployment.machines[0].status();
    let reader = reader
        .as_ref()
        .and_then(|status| status.get("watcher"))
        .and_then(Json::text)
        .map(str::to_owned);
    let Some(reader) = reader else {
        give_up(&record, "no machine reads the store for bkk-a");
    };
    if reader == deployment.machines[2].name {
        give_up(
            &record,
            "the machine of the booking instance reads the store",
        );
    }
    let index = (0..2)
        .find(|index| deployment.machines[*index].name != reader)
        .unwrap_or(0);
    let machine = &deployment.machines[index];
    record.note(&format!(
        "{reader} reads the store for bkk-a; the clients are at {}",
        machine.name
    ));
    let clients = Clients::start(machine, &kinds(4), &record);
    // The nodes ping each other every 2 s from their start on. The connections go silent between two pings,
    // not beside one.
    sleep(4.6);
    deployment.add("cnx-a", "billing", true);
    if !until(Duration::from_secs(10), || {
        deployment.machines[5].is_ready()
    }) {
        give_up(&record, "the added node is not ready");
    }
    sleep(1.0);
    if trouble() {
        deployment.relays[index].silence();
        record.note(&format!(
            "the open connections to {} go silent; new ones work",
            deployment.machines[index].name
        ));
    }
    let added = Instance::start(
        "i-6",
        now_ms(),
        &deployment.place(6, "billing", 50),
        &record,
    );
    sleep(3.0);
    let routes = [
        ROUTES[0],
        ROUTES[1],
        Route {
            prefix: "/pay/",
            kind: "safe",
            service: "billing",
        },
    ];
    deployment.store.put(
        "op",
        "config",
        &config(2, &["desk", "booking", "billing"], &routes),
    );
    record.note("version 2 adds the route /pay/ to billing; acknowledged");
    sleep(CONTACT_S + CONFIG_APPLY_S);
    let from = record.now();
    let later = Clients::start(&deployment.machines[index], &[pay(), pay()], &record);
    sleep(20.0);
    later.stop();
    clients.stop();
    let code = judge_added(&record, from);
    drop((instances, added));
    deployment.machines.clear();
    code
}

/// Requests to the added route.
fn pay() -> Kind {
    Kind {
        method: "GET",
        path: "/pay/unit".to_owned(),
        deadline: Duration::from_secs(3),
        pause: Duration::from_millis(50),
    }
}

/// Compares how often requests sent from `from` on were served, on the added route and on the first ones.
fn judge_added(record: &Record, from: f64) -> i32 {
    let share = |added: bool| {
        let sent = record.sent.lock().unwrap();
        let of_kind = sent
            .iter()
            .filter(|s| s.sent >= from && s.path.starts_with("/pay/") == added);
        let (mut all, mut served) = (0, 0);
        for sent in of_kind {
            all += 1;
            served += usize::from(sent.status == Some(200) && sent.stamped);
        }
        (all, served)
    };
    let ((all_first, served_first), (all_added, served_added)) = (share(false), share(true));
    record.note(&format!(
        "first routes: {served_first} of {all_first} requests served"
    ));
    record.note(&format!(
        "the added route: {served_added} of {all_added} requests served; answers: {:?}",
        outcomes(record, |sent| sent.sent >= from
            && sent.path.starts_with("/pay/"))
    ));
    if all_added < 20 || served_first * 4 < all_first {
        give_up(record, "too few requests");
    }
    if served_added * all_first * 4 < served_first * all_added {
        record.note("CONFIG is broken: served less than a quarter as often as on the first routes");
        return 1;
    }
    record.note("CONFIG held");
    0
}

/// The only instance of a new service crashes twice while it runs its first requests.
pub fn crashes() -> i32 {
    let mut deployment = deployment();
    let record = deployment.record.clone();
    let booking = Instance::start(
        "i-booking",
        now_ms(),
        &deployment.place(2, "booking", 50),
        &record,
    );
    let other = Instance::start(
        "i-other",
        now_ms(),
        &deployment.place(3, "booking", 50),
        &record,
    );
    sleep(3.0);
    let clients = Clients::start(&deployment.machines[0], &kinds(4), &record);
    deployment.add("bkk-b", "billing", false);
    if !until(Duration::from_secs(10), || {
        deployment.machines[3].is_ready()
    }) {
        give_up(&record, "the added node is not ready");
    }
    let routes = [
        ROUTES[0],
        ROUTES[1],
        Route {
            prefix: "/pay/",
            kind: "safe",
            service: "billing",
        },
    ];
    deployment.store.put(
        "op",
        "config",
        &config(2, &["desk", "booking", "billing"], &routes),
    );
    record.note("version 2 adds the route /pay/ to billing; acknowledged");
    sleep(CONFIG_APPLY_S);
    let clients_of_added = Clients::start(
        &deployment.machines[0],
        &[pay(), pay(), pay(), pay()],
        &record,
    );
    let mut billing = Instance::start(
        "i-billing",
        now_ms(),
        &deployment.place(4, "billing", 400),
        &record,
    );
    for _ in 0..if trouble() { 2 } else { 0 } {
        let born = billing.life.born;
        let started = record.now();
        let runs = || {
            record
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.instance == "i-billing" && run.at > started)
        };
        if !until(Duration::from_secs(10), runs) {
            give_up(&record, "no request reached the added instance");
        }
        sleep(0.2);
        billing.crash();
        sleep(2.0);
        assert!(now_ms() > born, "a later start");
        billing = Instance::start(
            "i-billing",
            now_ms(),
            &deployment.place(4, "billing", 400),
            &record,
        );
    }
    sleep(CONTACT_S + 1.0);
    let from = record.now();
    sleep(30.0);
    clients_of_added.stop();
    clients.stop();
    let code = judge_added(&record, from);
    drop((booking, other, billing));
    deployment.machines.clear();
    code
}

/// An instance leaves during an outage of the store, and its node is started again in the same outage.
pub fn outage() -> i32 {
    let mut deployment = deployment();
    let record = deployment.record.clone();
    let other = Instance::start(
        "i-other",
        now_ms(),
        &deployment.place(3, "booking", 100),
        &record,
    );
    let mut instance = Instance::start(
        "i-left",
        now_ms(),
        &deployment.place(2, "booking", 100),
        &record,
    );
    let clients = Clients::start(&deployment.machines[0], &kinds(8), &record);
    sleep(4.0);
    deployment.machines[1].signal(SIGTERM);
    record.note("the node beside i-left gets SIGTERM");
    sleep(1.8);
    let late = instance.life.next_body();
    let late_from = record.now();
    if trouble() {
        deployment.store.set_silent(true);
        record.note("the store is silent");
    }
    sleep(0.3);
    let acknowledged = instance.depart();
    if !until(Duration::from_secs(8), || {
        deployment.machines[1].ended().is_some()
    }) {
        give_up(&record, "the node doesn't end after SIGTERM");
    }
    record.note("the node beside i-left has ended");
    sleep(0.5);
    deployment.machines[1].start();
    let started = record.now();
    record.note("the node beside i-left starts again");
    sleep(1.0);
    let answer = instance.life.call("PUT", &late);
    record.note(&format!(
        "a heartbeat of {:.1} s ago arrives: {answer:?}",
        record.now() - late_from
    ));
    sleep(0.5);
    deployment.store.set_silent(false);
    let back = record.now();
    record.note("the store answers");
    sleep(CONTACT_S + 6.0);
    instance.crash();
    sleep(1.0);
    clients.stop();
    record.note(&format!("answers: {:?}", outcomes(&record, |_| true)));
    let code = match acknowledged {
        None => {
            record.note("the departure was not acknowledged, so that the rule does not apply");
            0
        }
        Some(acknowledged) => {
            // Only what is sent on when all machines are in touch again.
            let in_touch = started.max(back) + CONTACT_S;
            record.note(&format!("all machines are in touch from {in_touch:.3} on"));
            if late_arrivals(&record, "i-left", acknowledged, in_touch) > 0 {
                record.note("DRAIN is broken");
                1
            } else {
                record.note("DRAIN held");
                0
            }
        }
    };
    drop(other);
    deployment.machines.clear();
    code
}
