/// \file
/// \brief Metrics and their text in the Prometheus format.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_METRICS_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Label names with their values.
using MetricLabels = std::map<std::string, std::string>;

/// A count that only grows. Safe to use from several threads.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { m_value += amount; }
  std::uint64_t value() const { return m_value; }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

/// A value that goes up and down. Safe to use from several threads.
class Gauge {
 public:
  void Set(double value) { m_value = value; }
  double value() const { return m_value; }

 private:
  std::atomic<double> m_value{0};
};

/// Sum, count and the 0.5, 0.95 and 0.99 quantiles of observations. The
/// quantiles are those of the last whole minute, or of the current one until a
/// first has passed. Safe to use from several threads.
class Distribution {
 public:
  explicit Distribution(const Clock& clock);
  ~Distribution();

  void Observe(double value);
  std::uint64_t count() const;
  double sum() const;
  /// Returns the quantile of one of the three probabilities; 0 without
  /// observations.
  double Quantile(double probability) const;

 private:
  class Window;

  void Rotate() const;

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  // Guarded by the mutex.
  mutable std::unique_ptr<Window> m_current;
  mutable std::unique_ptr<Window> m_last;
  mutable TimeMs m_window_begin;
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

/// All metrics of a process. References that it gives stay valid as long as the
/// registry. Safe to use from several threads.
class MetricsRegistry {
 public:
  /// The clock must outlive the registry.
  explicit MetricsRegistry(const Clock& clock);
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Returns the series of this name and these labels, made at the first call.
  /// A name has one kind; another kind throws std::logic_error. Past a thousand
  /// series of one name, further labels share one series labelled "overflow".
  Counter& GetCounter(const std::string& name, const std::string& help,
                      const MetricLabels& labels = {});
  Gauge& GetGauge(const std::string& name, const std::string& help,
                  const MetricLabels& labels = {});
  Distribution& GetDistribution(const std::string& name,
                                const std::string& help,
                                const MetricLabels& labels = {});

  /// Calls the function before each rendering, to set gauges.
  void OnRender(std::function<void()> update);

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render();

 private:
  struct Series;
  struct Family;

  Series& GetSeries(const std::string& name, const std::string& help,
                    const MetricLabels& labels, const std::string& type);

  const Clock& m_clock;
  std::mutex m_mutex;
  // Guarded by the mutex.
  std::map<std::string, Family> m_families;
  std::vector<std::function<void()>> m_updates;
};

/// The metrics that the users weigh most, made together so that their names
/// stand in one place.
struct ServingMetrics {
  explicit ServingMetrics(MetricsRegistry& registry);

  /// Seconds that requests waited for an adapter to arrive.
  Distribution& load_stall_seconds;
  /// Running requests over batch capacity, over the cell's usable workers.
  Gauge& batch_fill_ratio;
  Distribution& first_token_seconds;
  Counter& answered;
  Counter& not_run;
  Counter& outcome_unknown;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_METRICS_H_
