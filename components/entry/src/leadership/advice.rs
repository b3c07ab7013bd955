//! Distributes questions to the advice service over all hosts, since it handles one question per calling host at
//! a time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use sched::{Hosts, Question, Ticket, is_long};
use tokio::sync::Notify;
use work::WorkerId;

use crate::host::Link;
use crate::leadership::{Leadership, usage};
use crate::message::{Answer, Call};

/// A host that was silent for longer isn't asked: a live one sends a ping every 300 ms. A question to a host behind a
/// network partition has no answer for a second, and meanwhile its unit asks about no other workers.
const MAX_ASKER_SILENCE: Duration = Duration::from_millis(450);
/// How much longer than expected an answer may take.
const ANSWER_MARGIN: Duration = Duration::from_millis(800);
/// Delay before an unanswered question may be asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the list of hosts that can ask is refreshed. Refreshing it for each question would cost more the more
/// hosts there are.
const ASKERS_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Waiting questions, and the hosts that are currently asking one.
#[derive(Default)]
pub(crate) struct AdviceQueue {
    waiting: Mutex<VecDeque<Question>>,
    /// The expected time of the question that each busy host is asking.
    busy: Mutex<BTreeMap<String, Duration>>,
    asker_list: Mutex<AskerList>,
    wake: Notify,
}

impl AdviceQueue {
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.lock().len()
    }

    pub(crate) fn push(&self, question: Question) {
        self.waiting.lock().push_back(question);
        self.wake.notify_one();
    }

    fn release(&self, host: &str) {
        self.busy.lock().remove(host);
        self.wake.notify_one();
    }
}

/// A host that can query the advice service.
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
            Asker::Other(_, link) => !link.is_closed() && link.time_since_last_frame() < MAX_ASKER_SILENCE,
        }
    }
}

/// Hosts that can ask, as of the last refresh: followers first, the leader last.
#[derive(Clone, Default)]
struct AskerList {
    at: Option<Duration>,
    askers: Arc<Vec<Asker>>,
}

/// Assigns waiting questions to free hosts.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    loop {
        leadership.advice_queue.wake.notified().await;
        while let Some((asker, question)) = next_question(&leadership) {
            tokio::spawn(ask(leadership.clone(), asker, question));
        }
    }
}

/// The next question and the host to ask it, which is busy from then on; `None` if no host is free or no question is
/// waiting. The order of questions is the engine's; see [`sched::Engine::set_askers`].
fn next_question(leadership: &Leadership) -> Option<(Asker, Question)> {
    let mut waiting = leadership.advice_queue.waiting.lock();
    let asker = if waiting.is_empty() { None } else { free_asker(leadership) }?;
    let question = waiting.pop_front()?;
    leadership.advice_queue.busy.lock().insert(asker.name().to_owned(), question.cost);
    Some((asker, question))
}

fn free_asker(leadership: &Leadership) -> Option<Asker> {
    let busy = leadership.advice_queue.busy.lock();
    askers(leadership).iter().find(|asker| asker.is_up() && !busy.contains_key(asker.name())).cloned()
}

/// The hosts that can ask, and what they are doing.
pub(crate) fn hosts(leadership: &Leadership) -> Hosts {
    let askers = askers(leadership);
    // Each host is checked once: one that becomes silent meanwhile would count as free but not in `all`.
    let up: Vec<&str> = askers.iter().filter(|asker| asker.is_up()).map(Asker::name).collect();
    // Locked in the order of `next_question`, so that a question that is being assigned is counted.
    let waiting = leadership.advice_queue.waiting.lock();
    let busy = leadership.advice_queue.busy.lock();
    let asking: Vec<&Duration> = up.iter().filter_map(|host| busy.get(*host)).collect();
    let costs = waiting.iter().map(|question| &question.cost).chain(asking.iter().copied());
    let long = costs.filter(|cost| is_long(**cost)).count();
    Hosts { all: up.len(), free: (up.len() - asking.len()).saturating_sub(waiting.len()), long }
}

/// Hosts that can ask, from a list that is refreshed at intervals.
fn askers(leadership: &Leadership) -> Arc<Vec<Asker>> {
    let now = leadership.host.started.elapsed();
    let mut asker_list = leadership.advice_queue.asker_list.lock();
    if asker_list.at.is_none_or(|at| now.saturating_sub(at) >= ASKERS_REFRESH_INTERVAL) {
        let followers = leadership.host.live_followers().into_iter();
        let others = followers.map(|follower| Asker::Other(follower.host, follower.link));
        let own = Asker::Own(leadership.host.settings.host.clone());
        *asker_list = AskerList { at: Some(now), askers: Arc::new(others.chain([own]).collect()) };
    }
    asker_list.askers.clone()
}

/// Asks one question and passes the answer to the engine.
async fn ask(leadership: Arc<Leadership>, asker: Asker, question: Question) {
    let sent = leadership.host.started.elapsed();
    let healthy = answer(&leadership, &asker, &question).await;
    let now = leadership.host.started.elapsed();
    leadership.host.metrics.advice_seconds.observe((now - sent).as_secs_f64());
    emit!(leadership.host.log, events::ADVICE, "unit" => question.unit.to_string(), "asker" => asker.name(),
        "named" => question.workers.len(), "healthy" => healthy.as_ref().map(Vec::len),
        "took_ms" => (now - sent).as_millis() as u64);
    leadership.activity.note_question();
    usage::record_question(&leadership, question.unit.job, healthy.as_ref().map_or(0, Vec::len));
    match healthy {
        Some(healthy) => {
            let until = now + question.validity;
            let tickets = healthy.into_iter().map(|(worker, text)| (worker, Ticket { text, until })).collect();
            leadership.engine.lock().advice_received(question.unit, &question.workers, tickets);
        }
        None => {
            tokio::time::sleep(RETRY_DELAY).await;
            leadership.engine.lock().advice_failed(question.unit, &question.workers);
        }
    }
    leadership.advice_queue.release(asker.name());
    leadership.plan.notify_one();
}

/// Workers that may run the unit, with their tickets; `None` if there was no answer.
async fn answer(leadership: &Leadership, asker: &Asker, question: &Question) -> Option<Vec<(WorkerId, String)>> {
    match asker {
        Asker::Own(_) => leadership.host.advice(question.unit, &question.workers).await,
        Asker::Other(_, link) => {
            let call = Call::Advise { unit: question.unit, workers: question.workers.clone() };
            match link.call(call, question.cost + ANSWER_MARGIN).await {
                Ok(Answer::Advice(healthy)) => healthy,
                _ => None,
            }
        }
    }
}
