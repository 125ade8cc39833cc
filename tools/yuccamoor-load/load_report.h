/// \file
/// \brief What the callers saw, and its table and JSON.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_LOAD_REPORT_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "yuccamoor/standins/workload.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// The end of one planned call, over all of its sendings.
struct CallResult {
  CallKind kind = CallKind::kChat;
  /// "answered", "not_run", "unknown", "no_answer", or "wrong" with the fault.
  std::string outcome;
  std::uint32_t sendings = 1;
  /// From the planned time to the first token, or to a charge's answer.
  DurationMs first;
  DurationMs whole;
};

/// Collects results. Safe to use from several threads.
class LoadReport {
 public:
  void Add(const CallResult& result);
  /// Adds a figure read from the other programs, such as the engines' batch
  /// fill.
  void AddFigure(const std::string& name, double value);
  /// Notes a promise that was seen broken.
  void AddBreach(const std::string& breach);

  /// Whether an answer was wrong or a promise was broken.
  bool HasBreaches() const;
  std::string ToTable() const;
  std::string ToJsonText() const;

 private:
  struct Tally {
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t sendings = 0;
    std::vector<std::int64_t> first_ms;
    std::vector<std::int64_t> whole_ms;
  };

  mutable std::mutex m_mutex;
  // Guarded by the mutex.
  std::map<std::string, Tally> m_tallies;
  std::map<std::string, double> m_figures;
  std::vector<std::string> m_breaches;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_LOAD_REPORT_H_
