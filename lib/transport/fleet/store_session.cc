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
// Larger messages hold up the links of small VMs for too long.
constexpr std::size_t kMaxPassedOnBytes = 24'576;

}  // namespace

StoreSession::StoreSession(NodeContext& context, FleetStore& store,
                           PassOn pass_on)
    : m_context(context),
      m_store(store),
      m_pass_on(std::move(pass_on)),
      m_timer(context.io),
      m_plan(context.settings.node, context.settings.domain,
             context.settings.max_propagation_delay, context.clock.Now()),
      m_last_answer(context.clock.Now()) {}

void StoreSession::Start(std::function<void()> on_change) {
  m_on_change = std::move(on_change);
  Read();
}

bool StoreSession::IsFresh(TimeMs now) const {
  return m_has_view && now - m_last_answer < kFreshTime;
}

void StoreSession::ScheduleRead() {
  if (m_reading) return;
  ReadAfter(std::max(DurationMs(0), m_plan.NextRead() - m_context.clock.Now()));
}

void StoreSession::ReadAfter(DurationMs pause) {
  m_timer.expires_after(std::chrono::milliseconds(pause.ms()));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) Read();
  });
}

void StoreSession::Read() {
  // An expired timer's handler may run although the read was put off.
  if (m_reading) return;
  m_reading = true;
  m_read_began = m_context.clock.Now();
  m_context.metrics.store_calls.Add();
  if (!m_has_view || m_history_gone) {
    m_store.ReadAll([this](const StoreReadResult& reading) {
      OnReading(reading, std::nullopt);
    });
    return;
  }
  m_store.Watch(m_as_of, m_plan.NextWatch(),
                [this, after = m_as_of](const StoreReadResult& reading) {
                  OnReading(reading, after);
                });
}

void StoreSession::OnStoreRestored(StoreEra era) {
  if (!m_has_view || era <= m_era) return;
  const TimeMs now = m_context.clock.Now();
  m_context.log.Event("store_restored")
      .Number("era", era.value())
      .Number("revision_before", m_as_of.value());
  m_history_gone = true;
  m_recovered = now;
  m_context.view.OnStoreRestored(now);
  // A watch that is under way ends soon, and is followed by the read.
  if (!m_reading) ReadAfter(m_plan.RestoredReadDelay());
}

void StoreSession::OnReading(const StoreReadResult& reading,
                             std::optional<Revision> after) {
  m_reading = false;
  const TimeMs now = m_context.clock.Now();
  NoteAnswer(reading, after ? "watch" : "read");
  if (reading.status == StoreStatus::kCompacted) {
    m_context.log.Event("store_history_gone")
        .Number("after_revision", m_as_of.value());
    m_history_gone = true;
    Read();
    return;
  }
  if (reading.status != StoreStatus::kOk) {
    m_plan.OnRead(reading.status == StoreStatus::kUnknown
                      ? ReadOutcome::kUnanswered
                      : ReadOutcome::kFailed,
                  now);
    ScheduleRead();
    return;
  }
  if (after && m_history_gone) {
    ReadAfter(m_plan.RestoredReadDelay());
    return;
  }
  const bool changed =
      after ? OnWatched(reading, *after, now) : OnReadAll(reading, now);
  m_plan.OnRead(changed ? ReadOutcome::kChanged : ReadOutcome::kUnchanged, now);
  ScheduleRead();
}

bool StoreSession::OnReadAll(const StoreReadResult& reading, TimeMs now) {
  m_context.view.Reset(reading.changes, now);
  m_context.log.Event("store_read")
      .Number("revision", reading.read_revision.value())
      .Number("era", reading.era.value())
      .Number("items", reading.changes.size());
  m_as_of = reading.read_revision;
  m_era = reading.era;
  m_has_view = true;
  m_history_gone = false;
  OnViewChanged();
  return true;
}

bool StoreSession::OnWatched(const StoreReadResult& reading, Revision after,
                             TimeMs now) {
  // Changes received from a reader meanwhile went beyond these.
  if (reading.read_revision < m_as_of) return false;
  const bool passes_on = m_plan.PassesOn(now);
  const std::vector<StoreChange> news = Apply(reading.changes, now);
  m_as_of = reading.read_revision;
  if (passes_on) PassOnChanges(news, after, now);
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
  told.complete = std::all_of(news.begin(), news.end(), IsPassedOn) &&
                  EncodedSize(news) <= kMaxPassedOnBytes;
  if (told.complete) told.changes = news;
  m_pass_on(told);
}

void StoreSession::OnTellChanges(const TellChanges& told) {
  OnStoreRestored(told.era);
  if (!m_has_view || m_history_gone) return;
  if (told.era < m_era || told.read < m_as_of) return;
  const TimeMs now = m_context.clock.Now();
  m_plan.OnReceived(now);
  m_last_answer = now;
  if (told.after_outage) OnOutageNotice(now);
  if (told.read > m_as_of) {
    if (told.complete && told.after <= m_as_of) {
      Apply(told.changes, now);
      m_as_of = told.read;
      if (!told.changes.empty()) OnViewChanged();
    } else {
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
    const std::vector<StoreChange>& changes, TimeMs now) {
  std::vector<StoreChange> news;
  for (const StoreChange& change : changes) {
    if (m_context.view.IsNews(change)) news.push_back(change);
    LogNews(change, m_context.view.Apply(change, now));
  }
  return news;
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
      log.Event("endpoint_removed")
          .Text("endpoint", std::get<EndpointRemoved>(change).id.str());
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

void StoreSession::NoteAnswer(const StoreReadResult& reading,
                              const char* call) {
  const TimeMs now = m_context.clock.Now();
  const StoreStatus status = reading.status;
  const bool answered =
      status != StoreStatus::kUnknown && status != StoreStatus::kRefused;
  if (!answered) {
    m_context.metrics.store_failures.Add();
    if (m_reachable) {
      m_context.log.Event("store_lost")
          .Text("reason", ToText(status))
          .Text("call", call)
          .Ms("waited_ms", now - m_read_began)
          .Ms("silence_ms", now - m_last_answer);
    }
    m_reachable = false;
    return;
  }
  const DurationMs silence = now - m_last_answer;
  m_last_answer = now;
  if (m_reachable) return;
  m_reachable = true;
  m_context.log.Event("store_regained")
      .Ms("silence_ms", silence)
      .Ms("waited_ms", now - m_read_began)
      .Number("revision_before", m_as_of.value())
      .Number("revision", reading.read_revision.value())
      .Number("changes", reading.changes.size());
  if (silence < kOutage) return;
  m_recovered = now;
  m_context.view.endpoints().OnStoreRecovered(now);
}

}  // namespace yuccamoor::fleet
