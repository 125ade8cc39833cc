#include "yuccamoor/transport/fleet/store_session.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "yuccamoor/protocol/fleet/store_change_codec.h"

namespace yuccamoor::fleet {

namespace {

// Within this, some watch has always ended.
constexpr DurationMs kFreshTime{1'500};
// Silence of the store that counts as an outage.
constexpr DurationMs kOutage{1'500};
// For this long after an outage, other nodes are told of it.
constexpr DurationMs kOutageNoticeTime{2'000};
// A watch that is answered later than this has waited for the change.
constexpr DurationMs kImmediateAnswer{250};
// The age of what was written before this node first read it: longer than any
// time that counts from a change.
constexpr DurationMs kUnknownAge{86'400'000};
// While the store is lost, each failure is logged once in this time.
constexpr DurationMs kFailureLogPeriod{60'000};
// Larger messages hold up the links of small VMs for too long.
constexpr std::size_t kMaxPassedOnBytes = 24'576;

// The entries among the changes whose endpoints are leaving.
std::vector<StoreChange> LeavingOf(const std::vector<StoreChange>& changes) {
  std::vector<StoreChange> leaving;
  for (const StoreChange& change : changes) {
    const auto* written = std::get_if<EndpointWritten>(&change);
    if (written && written->entry.draining) leaving.push_back(change);
  }
  return leaving;
}

// The endpoint that a change has removed: its entry may also have been
// overwritten.
EndpointId EndpointOf(const StoreChange& change) {
  const auto* written = std::get_if<EndpointWritten>(&change);
  return written ? written->entry.id : std::get<EndpointRemoved>(change).id;
}

}  // namespace

StoreSession::StoreSession(NodeContext& context, FleetStore& store,
                           PassOn pass_on)
    : m_context(context),
      m_store(store),
      m_pass_on(std::move(pass_on)),
      m_timer(context.io),
      m_plan(context.settings.node, context.settings.domain,
             context.settings.max_propagation_delay, context.clock.Now()),
      m_failure_reports(kFailureLogPeriod),
      m_last_answer(context.clock.Now()) {}

void StoreSession::Start(std::function<void()> on_change) {
  m_on_change = std::move(on_change);
  Read();
}

bool StoreSession::IsFresh(TimeMs now) const {
  return m_has_view && now - m_last_answer < kFreshTime;
}

void StoreSession::ScheduleRead() {
  const TimeMs now = m_context.clock.Now();
  const TimeMs next = m_plan.NextRead();
  if (next == TimeMs::Never()) {
    m_timer.cancel();
    return;
  }
  const DurationMs pause = std::max(DurationMs(0), next - now);
  m_timer.expires_after(std::chrono::milliseconds(pause.ms()));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    // An expired timer's handler may run although the read was put off.
    if (m_context.clock.Now() >= m_plan.NextRead()) {
      Read();
    } else {
      ScheduleRead();
    }
  });
}

void StoreSession::Read() {
  Call call;
  call.number = m_next_number++;
  call.began = m_context.clock.Now();
  const bool continues =
      m_has_view && !m_history_gone && !IsFarBehind(call.began);
  if (continues) call.after = m_as_of;
  const bool is_first = m_plan.reads_under_way() == 0;
  if (is_first) {
    m_first_call = call;
  } else {
    NoteNoAnswer("overdue", "", m_first_call);
  }
  Send(call);
  m_plan.OnReadBegun(call.began);
  ScheduleRead();
}

void StoreSession::Send(const Call& call) {
  m_context.metrics.store_calls.Add();
  ReadOptions options = m_plan.NextReadOptions();
  options.on_progress = [this, number = call.number] {
    if (number < m_first_counted) return false;
    m_plan.OnProgress(m_context.clock.Now());
    return true;
  };
  const auto done = [this, call](const StoreReadResult& reading) {
    OnReading(reading, call);
  };
  if (call.after) {
    m_store.Watch(*call.after, options, done);
  } else {
    m_store.ReadAll(options, done);
  }
}

bool StoreSession::IsFarBehind(TimeMs now) const {
  if (m_missed <= m_as_of) return false;
  const auto& current_at = m_context.view.current_at();
  return !current_at ||
         now - *current_at > m_context.settings.max_propagation_delay;
}

void StoreSession::OnStoreRestored(StoreEra era) {
  if (!m_has_view || era <= m_era) return;
  const TimeMs now = m_context.clock.Now();
  m_context.log.Event("store_restored")
      .Number("era", era.value())
      .Number("revision_before", m_as_of.value());
  m_history_gone = true;
  m_missed = Revision();
  m_recovered = now;
  m_context.view.OnStoreRestored(now);
  m_first_counted = m_next_number;
  m_plan.OnStoreRestored(now);
  ScheduleRead();
}

void StoreSession::OnReading(const StoreReadResult& reading, const Call& call) {
  if (call.number < m_first_counted) return;
  NoteAnswer(reading, call);
  const ReadOutcome outcome = TakeReading(reading, call);
  if (IsAnswer(outcome)) m_first_counted = m_next_number;
  const TimeMs now = m_context.clock.Now();
  m_plan.OnRead(outcome, now);
  // The answer may be older than what another node has told of.
  if (IsAnswer(outcome) && m_missed > m_as_of) m_plan.RequestRead(now);
  if (reading.status == StoreStatus::kCompacted) {
    Read();
  } else {
    ScheduleRead();
  }
}

ReadOutcome StoreSession::TakeReading(const StoreReadResult& reading,
                                      const Call& call) {
  const TimeMs now = m_context.clock.Now();
  switch (reading.status) {
    case StoreStatus::kOk:
      break;
    case StoreStatus::kUnknown:
      return ReadOutcome::kUnanswered;
    case StoreStatus::kCompacted:
      m_context.log.Event("store_history_gone")
          .Number("after_revision", m_as_of.value());
      m_history_gone = true;
      return ReadOutcome::kUnchanged;
    default:
      return ReadOutcome::kFailed;
  }
  const bool changed = call.after ? OnWatched(reading, call, now)
                                  : OnReadAll(reading, call.began, now);
  return changed ? ReadOutcome::kChanged : ReadOutcome::kUnchanged;
}

bool StoreSession::OnReadAll(const StoreReadResult& reading, TimeMs began,
                             TimeMs now) {
  // Changes received from a reader meanwhile went beyond these.
  const bool is_older = m_has_view && !m_history_gone && reading.era == m_era &&
                        reading.read_revision < m_as_of;
  if (is_older) return false;
  m_context.view.Reset(reading.changes, now, WrittenFrom(now, LearningTime()));
  // Its first page may be as old as the call.
  m_context.view.SetCurrentAt(began);
  m_context.log.Event("store_read")
      .Number("revision", reading.read_revision.value())
      .Number("era", reading.era.value())
      .Number("items", reading.changes.size());
  m_as_of = reading.read_revision;
  m_newest = std::max(reading.read_revision, reading.newest_revision);
  m_era = reading.era;
  m_has_view = true;
  m_history_gone = false;
  OnViewChanged();
  return true;
}

bool StoreSession::OnWatched(const StoreReadResult& reading, const Call& call,
                             TimeMs now) {
  // Changes received from a reader meanwhile went beyond these.
  if (reading.read_revision < m_as_of) return false;
  const bool passes_on = m_plan.PassesOn(now);
  // What ends a waiting watch has just been written.
  const bool was_waiting = now - call.began > kImmediateAnswer;
  const DurationMs usual_silence =
      was_waiting ? m_context.settings.max_propagation_delay : LearningTime();
  // What the view had before is no news here, but may be to other nodes.
  const Revision news_after = m_newest;
  const std::vector<StoreChange> news =
      Apply(reading.changes, now, WrittenFrom(now, usual_silence));
  m_as_of = reading.read_revision;
  m_newest = std::max(m_newest, m_as_of);
  m_context.view.SetCurrentAt(now);
  if (passes_on) PassOnChanges(news, news_after, now);
  if (!reading.changes.empty()) OnViewChanged();
  return !news.empty();
}

void StoreSession::PassOnChanges(const std::vector<StoreChange>& news,
                                 Revision after, TimeMs now) {
  TellChanges told;
  told.node = m_context.settings.node;
  told.after = after;
  told.read = m_as_of;
  told.era = m_era;
  told.after_outage = m_recovered && now - *m_recovered < kOutageNoticeTime;
  told.complete = after <= m_as_of &&
                  std::all_of(news.begin(), news.end(), IsPassedOn) &&
                  EncodedSize(news) <= kMaxPassedOnBytes;
  told.changes = told.complete ? news : LeavingOf(news);
  if (EncodedSize(told.changes) > kMaxPassedOnBytes) told.changes.clear();
  m_pass_on(told);
}

// True whatever else this node has missed, and needed sooner than it can read
// large configurations.
void StoreSession::NoteLeaving(const std::vector<StoreChange>& changes,
                               TimeMs now) {
  bool is_changed = false;
  for (const StoreChange& change : LeavingOf(changes)) {
    const EndpointEntry& entry = std::get<EndpointWritten>(change).entry;
    const EndpointProcess process{entry.id, entry.start_unix_ms};
    if (!m_context.view.endpoints().MarkLeaving(process, now)) continue;
    is_changed = true;
    m_context.log.Event("endpoint_says_it_leaves")
        .Text("endpoint", entry.id.str())
        .Text("source", "reader");
  }
  if (is_changed) m_on_change();
}

void StoreSession::OnTellChanges(const TellChanges& told) {
  OnStoreRestored(told.era);
  if (!m_has_view || m_history_gone) return;
  if (told.era < m_era || told.read < m_as_of) return;
  const TimeMs now = m_context.clock.Now();
  m_plan.OnReceived(now);
  m_last_answer = now;
  if (told.after_outage) OnOutageNotice(now);
  if (told.read == m_as_of) m_context.view.SetCurrentAt(now);
  if (told.read > m_as_of) {
    if (told.complete && told.after <= m_as_of) {
      // Readers tell what they have just read.
      Apply(told.changes, now,
            WrittenFrom(now, m_context.settings.max_propagation_delay));
      m_as_of = told.read;
      m_newest = std::max(m_newest, m_as_of);
      m_context.view.SetCurrentAt(now);
      if (!told.changes.empty()) OnViewChanged();
    } else {
      NoteLeaving(told.changes, now);
      m_missed = std::max(m_missed, told.read);
      m_plan.RequestRead(now);
    }
  }
  ScheduleRead();
}

void StoreSession::OnOutageNotice(TimeMs now) {
  if (m_recovered && now - *m_recovered < kOutageNoticeTime * 2) return;
  m_recovered = now;
  m_context.view.endpoints().OnStoreRecovered(now);
}

void StoreSession::OnViewChanged() {
  m_plan.SetNodes(m_context.view.nodes());
  const auto& routes = m_context.view.routes();
  if (routes) {
    m_context.metrics.config_version.Set(
        static_cast<double>(routes->config().version.value()));
  }
  m_on_change();
}

// Returns the changes that are news to other nodes.
std::vector<StoreChange> StoreSession::Apply(
    const std::vector<StoreChange>& changes, TimeMs now, TimeMs written_from) {
  std::vector<StoreChange> news;
  for (const StoreChange& change : changes) {
    if (m_context.view.IsNews(change)) news.push_back(change);
    LogNews(change, m_context.view.Apply(change, now, written_from));
  }
  return news;
}

DurationMs StoreSession::LearningTime() const {
  return MaxLearningTime(m_context.settings.max_propagation_delay);
}

TimeMs StoreSession::WrittenFrom(TimeMs now, DurationMs usual_silence) const {
  const auto& current_at = m_context.view.current_at();
  if (!current_at) return now - kUnknownAge;
  return now - *current_at <= usual_silence ? now : *current_at;
}

void StoreSession::LogNews(const StoreChange& change, ViewUpdate news) {
  LineLog& log = m_context.log;
  switch (news) {
    case ViewUpdate::kConfigApplied:
    case ViewUpdate::kConfigIgnored:
      log.Event(news == ViewUpdate::kConfigApplied ? "config_applied"
                                                   : "config_ignored_as_older")
          .Number("version",
                  std::get<ConfigWritten>(change).config.version.value());
      break;
    case ViewUpdate::kAdapterRevision:
      log.Event("adapter_version_named")
          .Text("adapter",
                ToString(std::get<AdapterRevisionPublished>(change).adapter))
          .Number("version",
                  std::get<AdapterRevisionPublished>(change).revision.value());
      break;
    case ViewUpdate::kEndpointAdded:
    case ViewUpdate::kEndpointLeaving: {
      const EndpointEntry& entry = std::get<EndpointWritten>(change).entry;
      log.Event(news == ViewUpdate::kEndpointAdded ? "endpoint_added"
                                                   : "endpoint_leaving")
          .Text("endpoint", entry.id.str())
          .Text("service", entry.service.str())
          .Text("address", entry.address);
      break;
    }
    case ViewUpdate::kEndpointRemoved:
      log.Event("endpoint_removed").Text("endpoint", EndpointOf(change).str());
      break;
    case ViewUpdate::kHolderChanged:
    case ViewUpdate::kNodeChanged:
      if (const auto* written = std::get_if<RecordWritten>(&change)) {
        log.Event("record_written")
            .Text("key", written->key)
            .Text("value", written->value)
            .Number("revision", written->revision.value());
      } else {
        log.Event("record_removed")
            .Text("key", std::get<RecordRemoved>(change).key);
      }
      break;
    case ViewUpdate::kUnchanged:
      break;
  }
}

void StoreSession::NoteNoAnswer(const char* reason, const std::string& failure,
                                const Call& call) {
  const TimeMs now = m_context.clock.Now();
  const bool is_new = !failure.empty() && m_failure_reports.IsDue(failure, now);
  if (!m_reachable && !is_new) return;
  const bool was_reachable = std::exchange(m_reachable, false);
  m_context.log.Event(was_reachable ? "store_lost" : "store_still_lost")
      .Text("reason", reason)
      .Text("call", call.after ? "watch" : "read")
      .Text("failure", failure)
      .Ms("waited_ms", now - call.began)
      .Ms("silence_ms", now - m_last_answer);
}

void StoreSession::NoteAnswer(const StoreReadResult& reading,
                              const Call& call) {
  const bool answered = reading.status != StoreStatus::kUnknown &&
                        reading.status != StoreStatus::kRefused;
  if (!answered) {
    m_context.metrics.store_failures.Add();
    NoteNoAnswer(ToText(reading.status), reading.failure, call);
    return;
  }
  const TimeMs now = m_context.clock.Now();
  const DurationMs silence = now - m_last_answer;
  m_last_answer = now;
  if (m_reachable) return;
  m_reachable = true;
  m_context.log.Event("store_regained")
      .Ms("silence_ms", silence)
      .Ms("waited_ms", now - call.began)
      .Number("revision_before", m_as_of.value())
      .Number("revision", reading.read_revision.value())
      .Number("changes", reading.changes.size());
  if (silence < kOutage) return;
  m_recovered = now;
  m_context.view.endpoints().OnStoreRecovered(now);
}

}  // namespace yuccamoor::fleet
