#include "yuccamoor/transport/observability/repeat_filter.h"

#include <cstddef>

namespace yuccamoor {

namespace {
constexpr std::size_t kMaxSubjects = 1'000;
}  // namespace

bool RepeatFilter::IsDue(std::string_view subject, TimeMs now) {
  const auto known = m_reported.find(subject);
  if (known != m_reported.end() && now - known->second < m_period) return false;
  if (m_reported.size() >= kMaxSubjects) {
    std::erase_if(m_reported, [&](const auto& item) {
      return now - item.second >= m_period;
    });
  }
  if (m_reported.size() < kMaxSubjects) {
    m_reported.insert_or_assign(std::string(subject), now);
  }
  return true;
}

}  // namespace yuccamoor
