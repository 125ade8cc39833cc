/// \file
/// \brief The registry of metrics and its text.

#include "yuccamoor/transport/observability/metrics.h"

#include <sstream>
#include <stdexcept>

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxSeriesPerName = 1000;

std::string Escape(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

/// Returns {a="b",c="d"}, or nothing without labels.
std::string LabelText(const MetricLabels& labels) {
  if (labels.empty()) return {};
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    if (text.size() > 1) text += ',';
    text += name + "=\"" + Escape(value) + '"';
  }
  return text + '}';
}

void RenderDistribution(std::ostream& os, const std::string& name,
                        const MetricLabels& labels,
                        const Distribution& distribution) {
  for (const char* quantile : {"0.5", "0.95", "0.99"}) {
    MetricLabels with_quantile = labels;
    with_quantile["quantile"] = quantile;
    os << name << LabelText(with_quantile) << ' '
       << distribution.Quantile(std::stod(quantile)) << '\n';
  }
  os << name << "_sum" << LabelText(labels) << ' ' << distribution.sum() << '\n'
     << name << "_count" << LabelText(labels) << ' ' << distribution.count()
     << '\n';
}

}  // namespace

/// One name with one set of labels; one of the three is set.
struct MetricsRegistry::Series {
  std::unique_ptr<Counter> counter;
  std::unique_ptr<Gauge> gauge;
  std::unique_ptr<Distribution> distribution;
};

/// All series of a name.
struct MetricsRegistry::Family {
  std::string type;
  std::string help;
  std::map<MetricLabels, Series> series;
};

MetricsRegistry::MetricsRegistry(const Clock& clock) : m_clock(clock) {}
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Series& MetricsRegistry::GetSeries(const std::string& name,
                                                    const std::string& help,
                                                    const MetricLabels& labels,
                                                    const std::string& type) {
  Family& family = m_families[name];
  if (family.type.empty()) {
    family.type = type;
    family.help = help;
  }
  if (family.type != type) {
    throw std::logic_error("metric " + name + " is a " + family.type);
  }
  const bool full = family.series.size() >= kMaxSeriesPerName;
  if (!full || family.series.contains(labels)) return family.series[labels];
  return family.series[MetricLabels{{"overflow", "true"}}];
}

Counter& MetricsRegistry::GetCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  const std::lock_guard lock(m_mutex);
  auto& counter = GetSeries(name, help, labels, "counter").counter;
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

Gauge& MetricsRegistry::GetGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  const std::lock_guard lock(m_mutex);
  auto& gauge = GetSeries(name, help, labels, "gauge").gauge;
  if (!gauge) gauge = std::make_unique<Gauge>();
  return *gauge;
}

Distribution& MetricsRegistry::GetDistribution(const std::string& name,
                                               const std::string& help,
                                               const MetricLabels& labels) {
  const std::lock_guard lock(m_mutex);
  auto& distribution = GetSeries(name, help, labels, "summary").distribution;
  if (!distribution) distribution = std::make_unique<Distribution>(m_clock);
  return *distribution;
}

void MetricsRegistry::OnRender(std::function<void()> update) {
  const std::lock_guard lock(m_mutex);
  m_updates.push_back(std::move(update));
}

std::string MetricsRegistry::Render() {
  std::vector<std::function<void()>> updates;
  {
    const std::lock_guard lock(m_mutex);
    updates = m_updates;
  }
  // Without the lock, as updates use the registry.
  for (const auto& update : updates) update();
  const std::lock_guard lock(m_mutex);
  std::ostringstream os;
  for (const auto& [name, family] : m_families) {
    os << "# HELP " << name << ' ' << family.help << '\n'
       << "# TYPE " << name << ' ' << family.type << '\n';
    for (const auto& [labels, series] : family.series) {
      if (series.distribution) {
        RenderDistribution(os, name, labels, *series.distribution);
        continue;
      }
      os << name << LabelText(labels) << ' ';
      if (series.counter) os << series.counter->value();
      if (series.gauge) os << series.gauge->value();
      os << '\n';
    }
  }
  return os.str();
}

ServingMetrics::ServingMetrics(MetricsRegistry& registry)
    : load_stall_seconds(registry.GetDistribution(
          "yuccamoor_load_stall_seconds",
          "Time that requests waited for an adapter to arrive.")),
      batch_fill_ratio(registry.GetGauge(
          "yuccamoor_batch_fill_ratio",
          "Running requests over the batch capacity of usable workers.")),
      first_token_seconds(registry.GetDistribution(
          "yuccamoor_first_token_seconds",
          "Time from a request's arrival to its first token.")),
      answered(registry.GetCounter("yuccamoor_requests_total",
                                   "Requests by outcome.",
                                   {{"outcome", "answered"}})),
      not_run(registry.GetCounter("yuccamoor_requests_total",
                                  "Requests by outcome.",
                                  {{"outcome", "not_run"}})),
      outcome_unknown(registry.GetCounter("yuccamoor_requests_total",
                                          "Requests by outcome.",
                                          {{"outcome", "unknown"}})) {}

}  // namespace yuccamoor
