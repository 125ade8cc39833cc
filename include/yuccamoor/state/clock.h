/// \file
/// \brief Points and spans of monotonic time in milliseconds, and the clock
/// that the running programs read. Decision code takes the time as an argument
/// and never reads a clock.

#ifndef YUCCAMOOR_STATE_CLOCK_H_
#define YUCCAMOOR_STATE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <ostream>

namespace yuccamoor {

/// A span of time in milliseconds. May be negative.
class DurationMs {
 public:
  constexpr DurationMs() = default;
  explicit constexpr DurationMs(std::int64_t ms) : m_ms(ms) {}

  constexpr std::int64_t ms() const { return m_ms; }

  friend constexpr auto operator<=>(DurationMs, DurationMs) = default;
  friend constexpr DurationMs operator+(DurationMs a, DurationMs b) {
    return DurationMs(a.m_ms + b.m_ms);
  }
  friend constexpr DurationMs operator-(DurationMs a, DurationMs b) {
    return DurationMs(a.m_ms - b.m_ms);
  }
  friend constexpr DurationMs operator*(DurationMs a, std::int64_t factor) {
    return DurationMs(a.m_ms * factor);
  }
  friend constexpr DurationMs operator/(DurationMs a, std::int64_t divisor) {
    return DurationMs(a.m_ms / divisor);
  }
  friend std::ostream& operator<<(std::ostream& os, DurationMs d) {
    return os << d.m_ms << "ms";
  }

 private:
  std::int64_t m_ms = 0;
};

/// A point in time in milliseconds on one process's monotonic clock. Points of
/// different processes must not be compared: messages carry durations.
class TimeMs {
 public:
  constexpr TimeMs() = default;
  explicit constexpr TimeMs(std::int64_t ms) : m_ms(ms) {}

  /// A point later than any that a clock returns.
  static constexpr TimeMs Never() {
    return TimeMs(std::numeric_limits<std::int64_t>::max() / 4);
  }

  constexpr std::int64_t ms() const { return m_ms; }

  friend constexpr auto operator<=>(TimeMs, TimeMs) = default;
  friend constexpr TimeMs operator+(TimeMs t, DurationMs d) {
    return TimeMs(t.m_ms + d.ms());
  }
  friend constexpr TimeMs operator-(TimeMs t, DurationMs d) {
    return TimeMs(t.m_ms - d.ms());
  }
  friend constexpr DurationMs operator-(TimeMs a, TimeMs b) {
    return DurationMs(a.m_ms - b.m_ms);
  }
  friend std::ostream& operator<<(std::ostream& os, TimeMs t) {
    return os << t.m_ms << "ms";
  }

 private:
  std::int64_t m_ms = 0;
};

/// A source of monotonic time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the current time. Never goes back within one process.
  virtual TimeMs Now() const = 0;
};

/// The operating system's monotonic clock.
class SteadyClock final : public Clock {
 public:
  TimeMs Now() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
 public:
  TimeMs Now() const override { return m_now; }

  /// Moves the clock forward by \p step, which must not be negative.
  void Advance(DurationMs step);

 private:
  TimeMs m_now;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_CLOCK_H_
