/// \file
/// \brief Tells repeated reports of the same subject from new ones.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_REPEAT_FILTER_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_REPEAT_FILTER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Lets a report of each subject through once a period. Remembers a bounded
/// number of subjects; beyond it, reports of further ones all pass.
class RepeatFilter {
 public:
  explicit RepeatFilter(DurationMs period) : m_period(period) {}

  /// Whether to report the subject now.
  bool IsDue(std::string_view subject, TimeMs now);

 private:
  DurationMs m_period;
  // When each subject was last reported.
  std::map<std::string, TimeMs, std::less<>> m_reported;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_REPEAT_FILTER_H_
