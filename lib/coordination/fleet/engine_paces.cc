#include "yuccamoor/coordination/fleet/engine_paces.h"

#include <algorithm>
#include <cstdlib>

namespace yuccamoor::fleet {

namespace {

// Streams with fewer events show little of the time between them.
constexpr std::uint64_t kMinEvents = 10;
// A stated percentage that differs by less is reported with other news only.
constexpr std::int64_t kMinReportedChange = 20;
constexpr DurationMs kReportInterval{1'000};

bool IsNews(std::uint32_t percent, std::uint32_t told) {
  return std::abs(static_cast<std::int64_t>(percent) -
                  static_cast<std::int64_t>(told)) >= kMinReportedChange;
}

}  // namespace

DurationMs ShortestEventGap(const FleetConfig& config,
                            const ServiceId& service) {
  DurationMs shortest{0};
  for (const RouteSpec& route : config.routes) {
    if (route.max_event_gap == DurationMs(0)) continue;
    const bool serves = std::any_of(
        route.shares.begin(), route.shares.end(),
        [&](const TrafficShare& share) { return share.service == service; });
    const bool is_shorter =
        shortest == DurationMs(0) || route.max_event_gap < shortest;
    if (serves && is_shorter) shortest = route.max_event_gap;
  }
  return shortest;
}

void EnginePaces::OnConfig(const FleetConfig& config) {
  m_gaps.clear();
  for (const auto& [id, service] : config.services) {
    if (!service.engine) continue;
    m_gaps[id] = ShortestEventGap(config, id);
    ShowUsual(id);
  }
}

void EnginePaces::ShowUsual(const ServiceId& service) {
  EnginePace usual = m_services[service].Usual();
  const auto gap = m_gaps.find(service);
  if (gap != m_gaps.end()) usual.max_event_gap = gap->second;
  for (auto& [id, endpoint] : m_endpoints.all()) {
    if (endpoint.entry.service == service) endpoint.usual_pace = usual;
  }
}

void EnginePaces::OnFirstEvent(const ObservedStream& stream,
                               const std::optional<EndpointLoad>& load) {
  const Endpoint* engine = m_endpoints.Find(stream.engine);
  if (!engine) return;
  const ServiceId service = engine->entry.service;
  m_services[service].OnFirstEvent(stream.prompt_tokens,
                                   stream.first_event - stream.sent);
  ShowUsual(service);
  PaceSample sample;
  if (load) sample.work_time_percent = load->work_time_percent;
  Learn(stream.engine, sample, stream.first_event);
}

void EnginePaces::OnStreamEnd(const ObservedStream& stream,
                              std::uint64_t events, TimeMs now) {
  const Endpoint* engine = m_endpoints.Find(stream.engine);
  if (!engine || events < kMinEvents) return;
  const double interval_ms =
      static_cast<double>((now - stream.first_event).ms()) /
      static_cast<double>(events - 1);
  const ServiceId service = engine->entry.service;
  PaceSample sample;
  sample.interval_factor =
      m_services[service].OnEvents(stream.streams, interval_ms);
  ShowUsual(service);
  Learn(stream.engine, sample, now);
}

void EnginePaces::Learn(const EndpointId& engine, const PaceSample& sample,
                        TimeMs now) {
  if (sample.empty()) return;
  OnReport(engine, sample, now);
  Report& report = m_reports[engine];
  if (sample.interval_factor) {
    report.sample.interval_factor = sample.interval_factor;
  }
  if (sample.work_time_percent) {
    report.sample.work_time_percent = sample.work_time_percent;
  }
}

void EnginePaces::OnReport(const EndpointId& engine, const PaceSample& sample,
                           TimeMs now) {
  Endpoint* known = m_endpoints.Find(engine);
  if (known) known->speed.Add(sample, now);
}

std::map<EndpointId, PaceSample> EnginePaces::TakeReports(TimeMs now) {
  std::map<EndpointId, PaceSample> due;
  for (auto it = m_reports.begin(); it != m_reports.end();) {
    Report& report = it->second;
    const auto& percent = report.sample.work_time_percent;
    const bool changed = percent && IsNews(*percent, report.told_percent);
    const bool old = now - report.told >= kReportInterval;
    if (!report.sample.empty() && (changed || old)) {
      due[it->first] = report.sample;
      if (percent) report.told_percent = *percent;
      report.told = now;
      report.sample = PaceSample();
    }
    it = m_endpoints.Find(it->first) ? std::next(it) : m_reports.erase(it);
  }
  return due;
}

}  // namespace yuccamoor::fleet
