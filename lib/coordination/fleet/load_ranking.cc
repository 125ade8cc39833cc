#include "yuccamoor/coordination/fleet/load_ranking.h"

namespace yuccamoor::fleet {

namespace {

// Additional value of a demand whose newest request will be on time.
constexpr double kOnTimeBonus = 2.4;
// Value of an additional copy of an adapter that is already loaded elsewhere
// and has no pending requests.
constexpr double kCopyValue = 0.5;
// Value is divided by 1 + kPriorityStep * priority, so a request of priority 2
// counts half.
constexpr double kPriorityStep = 0.5;

}  // namespace

double LoadValue(const LoadDemand& demand, TimeMs ready) {
  if (demand.requests == 0) return kCopyValue;
  const double bonus = ready <= demand.ready_deadline ? kOnTimeBonus : 0;
  return (demand.requests + bonus) / (1 + kPriorityStep * demand.priority);
}

bool LoadsBefore(const LoadDemand& first, const LoadDemand& second,
                 TimeMs ready) {
  const double first_value = LoadValue(first, ready);
  const double second_value = LoadValue(second, ready);
  if (first_value != second_value) return first_value > second_value;
  return first.first_requested_at < second.first_requested_at;
}

}  // namespace yuccamoor::fleet
