/// \file
/// \brief Checks of the weighted policy's settings.

#include "yuccamoor/coordination/placement/weighted_options.h"

namespace yuccamoor {
namespace {

constexpr char kSource[] = "weighted policy";

void CheckPositive(const char* pointer, DurationMs value, Findings* findings) {
  if (value.ms() > 0) return;
  findings->Add(Place{kSource, pointer}, "must be above zero");
}

void CheckWeight(const char* pointer, double value, Findings* findings) {
  if (value > 0) return;
  findings->Add(Place{kSource, pointer}, "must be above zero");
}

}  // namespace

Findings Check(const WeightedOptions& options) {
  Findings findings;
  if (options.sketch_width == 0) {
    findings.Add(Place{kSource, "/sketch_width"}, "must be at least 1");
  }
  if (options.max_loads_per_decision == 0) {
    findings.Add(Place{kSource, "/max_loads_per_decision"},
                 "must be at least 1");
  }
  CheckPositive("/half_life", options.half_life, &findings);
  CheckPositive("/assumed_deadline", options.assumed_deadline, &findings);
  CheckPositive("/answer_time", options.answer_time, &findings);
  CheckPositive("/residence", options.residence, &findings);
  CheckPositive("/refusal_interval", options.refusal_interval, &findings);
  CheckWeight("/interactive_weight", options.interactive_weight, &findings);
  CheckWeight("/normal_weight", options.normal_weight, &findings);
  CheckWeight("/background_weight", options.background_weight, &findings);
  return findings;
}

}  // namespace yuccamoor
