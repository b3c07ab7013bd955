//! Spreads questions to the adviser over all hosts: it serves each calling host one question at a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use sched::{Question, Ticket};
use tokio::sync::Notify;
use work::WorkerId;

use crate::host::Link;
use crate::message::{Answer, Call};
use crate::reign::Reign;

/// A question that takes longer must leave hosts free for short ones.
const LONG: Duration = Duration::from_millis(100);
/// Of so many hosts that can ask, one is left for short questions: it gets through those of the urgent jobs of all of them.
const HOSTS_A_SHORT_ASKER: usize = 8;
/// How much longer than expected an answer may take.
const SLACK: Duration = Duration::from_millis(800);
/// Pause before a question without an answer may be asked again.
const PAUSE: Duration = Duration::from_millis(50);

/// The hosts that can ask are looked up anew after this time. With each question it would cost as many times more as there are hosts.
const LOOK_UP: Duration = Duration::from_millis(100);

/// Questions that wait, and hosts that have one to ask.
#[derive(Default)]
pub(crate) struct Desk {
    waiting: Mutex<Vec<Question>>,
    busy: Mutex<BTreeSet<String>>,
    roster: Mutex<Roster>,
    wake: Notify,
}

impl Desk {
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.lock().len()
    }

    pub(crate) fn put(&self, question: Question) {
        self.waiting.lock().push(question);
        self.wake.notify_one();
    }

    fn free(&self, host: &str) {
        self.busy.lock().remove(host);
        self.wake.notify_one();
    }
}

/// A host that can ask the adviser.
#[derive(Clone)]
enum Asker {
    Own(String),
    Other(String, Arc<Link>),
}

impl Asker {
    fn name(&self) -> &str {
        match self {
            Asker::Own(name) | Asker::Other(name, _) => name,
        }
    }

    fn is_up(&self) -> bool {
        match self {
            Asker::Own(_) => true,
            Asker::Other(_, link) => !link.is_closed(),
        }
    }
}

/// Hosts that can ask, as they were looked up last: followers first, the leader last.
#[derive(Clone, Default)]
struct Roster {
    at: Option<Duration>,
    askers: Arc<Vec<Asker>>,
}

/// Gives waiting questions to free hosts, the most urgent first.
pub(crate) async fn run(reign: Arc<Reign>) {
    loop {
        reign.desk.wake.notified().await;
        while let Some((asker, question)) = next(&reign) {
            reign.desk.busy.lock().insert(asker.name().to_owned());
            tokio::spawn(ask(reign.clone(), asker, question));
        }
    }
}

/// The question to ask next, and by which host; `None` while no host or no question is free.
fn next(reign: &Reign) -> Option<(Asker, Question)> {
    let askers = askers(reign);
    let (asker, taken) = {
        let busy = reign.desk.busy.lock();
        let free = |asker: &&Asker| asker.is_up() && !busy.contains(asker.name());
        (askers.iter().find(free)?.clone(), busy.len())
    };
    let mut waiting = reign.desk.waiting.lock();
    let long = free_for_long(askers.len(), askers.len().saturating_sub(taken)) > 0;
    let allowed = |question: &Question| question.cost < LONG || long;
    let best = (0..waiting.len())
        .filter(|index| allowed(&waiting[*index]))
        .min_by_key(|index| (waiting[*index].priority, *index))?;
    Some((asker, waiting.remove(best)))
}

/// Of `free` hosts, how many may ask a long question: some are left for short ones, unless there is only one host in all.
fn free_for_long(askers: usize, free: usize) -> usize {
    if askers == 1 {
        return free;
    }
    free.saturating_sub((askers / HOSTS_A_SHORT_ASKER).max(1))
}

/// How many hosts are free to ask a long question.
pub(crate) fn free(reign: &Reign) -> usize {
    let askers = askers(reign).len();
    let taken = reign.desk.busy.lock().len() + reign.desk.waiting();
    free_for_long(askers, askers.saturating_sub(taken))
}

/// Hosts that can ask.
fn askers(reign: &Reign) -> Arc<Vec<Asker>> {
    let now = reign.host.started.elapsed();
    let mut roster = reign.desk.roster.lock();
    if roster.at.is_none_or(|at| now.saturating_sub(at) >= LOOK_UP) {
        let followers = reign.host.live_followers().into_iter();
        let others = followers.map(|follower| Asker::Other(follower.host, follower.link));
        let own = Asker::Own(reign.host.settings.host.clone());
        *roster = Roster { at: Some(now), askers: Arc::new(others.chain([own]).collect()) };
    }
    roster.askers.clone()
}

/// Asks one question and gives the answer to the engine.
async fn ask(reign: Arc<Reign>, asker: Asker, question: Question) {
    let sent = reign.host.started.elapsed();
    let healthy = answer(&reign, &asker, &question).await;
    let now = reign.host.started.elapsed();
    reign.host.metrics.advice_seconds.observe((now - sent).as_secs_f64());
    emit!(reign.host.log, events::ADVICE, "unit" => question.unit.to_string(), "asker" => asker.name(),
        "named" => question.workers.len(), "healthy" => healthy.as_ref().map(Vec::len),
        "took_ms" => (now - sent).as_millis() as u64);
    match healthy {
        Some(healthy) => {
            let until = now + question.validity;
            let tickets = healthy.into_iter().map(|(worker, text)| (worker, Ticket { text, until })).collect();
            reign.engine.lock().advice_received(question.unit, &question.workers, tickets);
        }
        None => {
            tokio::time::sleep(PAUSE).await;
            reign.engine.lock().advice_failed(question.unit, &question.workers);
        }
    }
    reign.desk.free(asker.name());
    reign.plan.notify_one();
}

/// Workers that may run the unit, with their tickets; `None` without an answer.
async fn answer(reign: &Reign, asker: &Asker, question: &Question) -> Option<Vec<(WorkerId, String)>> {
    match asker {
        Asker::Own(_) => reign.host.advice(question.unit, &question.workers).await,
        Asker::Other(_, link) => {
            let call = Call::Advise { unit: question.unit, workers: question.workers.clone() };
            match link.call(call, question.cost + SLACK).await {
                Ok(Answer::Advice(healthy)) => healthy,
                _ => None,
            }
        }
    }
}
