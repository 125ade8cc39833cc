/// \file
/// \brief How fast an endpoint works, learned from its answers.
///
/// Endpoints of one service differ in speed, and one that shares its machine
/// slows down for moments. A node learns the usual figures of a service from
/// all answers that it gets, and each endpoint's factor against these from that
/// endpoint's own. An endpoint of which little has been seen counts as usual.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACE_H_

#include <cstdint>
#include <optional>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// A line fitted to the samples seen last: y = offset + slope * x. Samples fade
/// as later ones come; one far off the line is moved towards it.
class FadingLine {
 public:
  /// Starts from a line that counts as much as some samples around \p
  /// typical_x.
  FadingLine(double offset, double slope, double typical_x);

  /// Adds a sample. One above the line counts \p weight_above, others count 1:
  /// below 1, the line follows the lower samples.
  void Add(double x, double y, double weight_above);

  double At(double x) const;
  double slope() const { return m_slope; }

 private:
  // Weighted means of x and y, and of the products' deviations.
  double m_weight;
  double m_mean_x;
  double m_mean_y;
  double m_variance_x;
  double m_covariance;
  double m_slope;
  double m_min_slope;
  double m_max_slope;
};

/// How an engine prefills prompts and generates, at one moment.
struct EnginePace {
  double prefill_tokens_per_ms = 38;
  /// The time between two events of a stream while no prompt is prefilled, and
  /// what each further stream adds to it.
  double event_interval_ms = 27.5;
  double event_interval_ms_per_stream = 0.2;
  /// The longest gap between events that keeps a stream on time; zero if gaps
  /// do not matter.
  DurationMs max_event_gap{250};
  /// The factor by which the engine takes longer now than it usually does.
  double momentary = 1;

  /// Returns the time between two events with that many streams.
  double EventIntervalMs(std::uint32_t streams) const;
  /// Returns the time that prompts of that many tokens take.
  double PrefillMs(std::uint32_t tokens) const;
  /// Returns the pace of an engine that takes \p factor times as long.
  EnginePace SlowedBy(double factor) const;
};

/// What a response has shown of its endpoint's speed.
struct PaceSample {
  /// The mean time between two events of a stream, as a factor of what is usual
  /// in the service for as many streams.
  std::optional<double> interval_factor;
  /// EndpointLoad::work_time_percent, just stated.
  std::optional<std::uint32_t> work_time_percent;

  bool empty() const { return !interval_factor && !work_time_percent; }
  friend bool operator==(const PaceSample&, const PaceSample&) = default;
};

/// One endpoint's speed against what is usual in its service.
class EndpointSpeed {
 public:
  void Add(const PaceSample& sample, TimeMs now);

  /// How many times as long as usual the endpoint takes on the whole: between
  /// 1 / kMaxFactor and kMaxFactor. Near 1 while little has been seen, or for
  /// long nothing.
  double Lasting(TimeMs now) const;
  /// How many times as long as by Lasting it takes now, by its own statement.
  /// Approaches the mean of its statements as the last one ages.
  double Momentary(TimeMs now) const;

  static constexpr double kMaxFactor = 4;

 private:
  // Logarithm of the lasting factor.
  double m_log_factor = 0;
  std::uint32_t m_samples = 0;
  TimeMs m_seen_at;
  double m_stated_factor = 1;
  double m_mean_stated = 1;
  std::optional<TimeMs> m_stated_at;
};

/// The usual figures of one engine service, as this node has seen them.
class ServicePace {
 public:
  ServicePace();

  /// Notes a stream's first event: the prompt's size, and the time since it was
  /// sent.
  void OnFirstEvent(std::uint32_t prompt_tokens, DurationMs after);
  /// Notes the mean time between two events of a stream that was sent to an
  /// engine with \p streams others. Returns it as a factor of what is usual.
  double OnEvents(std::uint32_t streams, double interval_ms);

  /// Returns the pace of a usual engine of the service.
  EnginePace Usual() const;

 private:
  FadingLine m_first_event;
  FadingLine m_interval;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACE_H_
