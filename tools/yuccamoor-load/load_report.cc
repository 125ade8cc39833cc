/// \file
/// \brief The report of a run.

#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxBreaches = 100;

/// Returns the nearest-rank quantile; 0 without values.
std::int64_t QuantileOf(std::vector<std::int64_t> values, double probability) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(probability * static_cast<double>(values.size())));
  const std::size_t index = std::max<std::size_t>(rank, 1) - 1;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

Json QuantilesOf(const std::vector<std::int64_t>& values) {
  return Json{{"p50", QuantileOf(values, 0.5)},
              {"p95", QuantileOf(values, 0.95)},
              {"p99", QuantileOf(values, 0.99)},
              {"max", QuantileOf(values, 1)}};
}

}  // namespace

void LoadReport::Add(const CallResult& result) {
  const std::lock_guard lock(m_mutex);
  Tally& tally = m_tallies[result.kind == CallKind::kChat ? "chat" : "charge"];
  ++tally.outcomes[result.outcome];
  tally.sendings += result.sendings;
  if (result.outcome != "answered") return;
  tally.first_ms.push_back(result.first.ms());
  tally.whole_ms.push_back(result.whole.ms());
}

void LoadReport::AddFigure(const std::string& name, double value) {
  const std::lock_guard lock(m_mutex);
  m_figures[name] = value;
}

void LoadReport::AddBreach(const std::string& breach) {
  const std::lock_guard lock(m_mutex);
  if (m_breaches.size() < kMaxBreaches) m_breaches.push_back(breach);
}

bool LoadReport::HasBreaches() const {
  const std::lock_guard lock(m_mutex);
  return !m_breaches.empty();
}

std::string LoadReport::ToTable() const {
  const std::lock_guard lock(m_mutex);
  std::ostringstream os;
  for (const auto& [kind, tally] : m_tallies) {
    os << kind << ": sendings " << tally.sendings;
    for (const auto& [outcome, count] : tally.outcomes) {
      os << ", " << outcome << ' ' << count;
    }
    os << "\n  ms to first token or answer: p50 "
       << QuantileOf(tally.first_ms, 0.5) << ", p95 "
       << QuantileOf(tally.first_ms, 0.95) << ", p99 "
       << QuantileOf(tally.first_ms, 0.99) << ", max "
       << QuantileOf(tally.first_ms, 1) << "\n  ms to the whole: p50 "
       << QuantileOf(tally.whole_ms, 0.5) << ", p95 "
       << QuantileOf(tally.whole_ms, 0.95) << '\n';
  }
  for (const auto& [name, value] : m_figures) {
    os << name << ": " << value << '\n';
  }
  os << "breaches: " << m_breaches.size() << '\n';
  for (const std::string& breach : m_breaches) os << "  " << breach << '\n';
  return os.str();
}

std::string LoadReport::ToJsonText() const {
  constexpr int kIndent = 2;
  const std::lock_guard lock(m_mutex);
  Json json;
  for (const auto& [kind, tally] : m_tallies) {
    json["calls"][kind] = {{"outcomes", tally.outcomes},
                           {"sendings", tally.sendings},
                           {"first_ms", QuantilesOf(tally.first_ms)},
                           {"whole_ms", QuantilesOf(tally.whole_ms)}};
  }
  json["figures"] = m_figures;
  json["breaches"] = m_breaches;
  return json.dump(kIndent);
}

}  // namespace yuccamoor
