/// \file
/// \brief Implementation of the bounds by prices.

#include "residency_bound.h"

#include <algorithm>
#include <boost/math/tools/minima.hpp>
#include <cmath>
#include <cstddef>
#include <functional>
#include <vector>

#include "cell_executor.h"
#include "fake_engine.h"

namespace yuccamoor::placement_benchmark {
namespace {

constexpr double kMsPerSecond = 1'000;

/// A load occupies its slot while it lasts and while one shortest answer runs.
constexpr double kLeastSlotMs =
    CellExecutor::kLoadTime.ms() +
    kLeastTokens * (FakeEngine::kStepMs + FakeEngine::kStepMsPerRequest);

/// The measured requests for one adapter, in order of arrival.
struct Demand {
  std::vector<double> arrivals_ms;
  /// Time from a request's arrival to its deadline.
  double patience_ms = 0;
};

/// Prices in the unit of what is bounded.
struct Prices {
  double load = 0;
  double slot_ms = 0;
};

/// What there is to be bought.
struct Supply {
  double loads = 0;
  double slot_ms = 0;

  double Worth(const Prices& prices) const {
    return loads * prices.load + slot_ms * prices.slot_ms;
  }
};

std::vector<Demand> CollectDemands(const Scenario& scenario,
                                   const Workload& workload) {
  std::vector<Demand> demands(workload.targets.size());
  for (const CallerRequest& request : workload.requests) {
    if (request.arrival < TimeMs() + scenario.warm_up) continue;
    Demand& demand = demands[request.target];
    demand.arrivals_ms.push_back(static_cast<double>(request.arrival.ms()));
    demand.patience_ms =
        static_cast<double>((request.deadline - request.arrival).ms());
  }
  std::erase_if(
      demands, [](const Demand& demand) { return demand.arrivals_ms.empty(); });
  return demands;
}

/// Returns what can be spent from the end of the warm-up to the last deadline.
/// Adapters that are resident at its start were loaded before.
Supply MakeSupply(const Scenario& scenario,
                  const std::vector<Demand>& demands) {
  double end = 0;
  for (const Demand& demand : demands) {
    end = std::max(end, demand.arrivals_ms.back() + demand.patience_ms);
  }
  const double span = end - static_cast<double>(scenario.warm_up.ms());
  const double slots =
      static_cast<double>(scenario.deployment.workers) * scenario.slots;
  const double loads =
      1 + slots + span * scenario.deployment.loads_per_second / kMsPerSecond;
  return {loads, slots * (span + kLeastSlotMs)};
}

/// Returns the most that answers to one adapter's requests yield after the
/// price of loads and slot time. One stay in a slot answers all requests that
/// arrive during it or less than their patience before it.
double MostAnswered(const Demand& demand, const Prices& prices) {
  const std::vector<double>& at = demand.arrivals_ms;
  const std::size_t count = at.size();
  const double load_price = prices.load + prices.slot_ms * kLeastSlotMs;
  std::vector<double> best(count + 1, 0);
  // The best yield of a stay that is in force at request j and after it, less
  // the part that depends on where the stay began.
  std::vector<double> stay(count + 1, 0);
  std::size_t last = count;
  for (std::size_t i = count; i-- > 0;) {
    const double end =
        static_cast<double>(i + 1) + best[i + 1] - prices.slot_ms * at[i];
    stay[i] = i + 1 < count ? std::max(end, stay[i + 1]) : end;
    // Requests from i to before `last` are answered by a stay of no length.
    while (last > i + 1 && at[last - 1] > at[i] + demand.patience_ms) --last;
    double yield = static_cast<double>(last) + best[last];
    if (last < count) {
      const double longer =
          stay[last] + prices.slot_ms * (at[i] + demand.patience_ms);
      yield = std::max(yield, longer);
    }
    best[i] =
        std::max(best[i + 1], yield - static_cast<double>(i) - load_price);
  }
  return best[0];
}

/// Returns the least cost of one adapter's requests: their stalls, and the
/// price of loads and slot time.
double LeastCost(const Demand& demand, const Prices& prices) {
  const std::vector<double>& at = demand.arrivals_ms;
  const std::size_t count = at.size();
  const double load_price = prices.load + prices.slot_ms * kLeastSlotMs;
  // The least cost of the requests from i on, outside of a stay, and of those
  // after k in a stay that is in force at request k.
  std::vector<double> outside(count + 1, 0);
  std::vector<double> inside(count + 1, 0);
  for (std::size_t i = count; i-- > 0;) {
    inside[i] = outside[i + 1];
    if (i + 1 < count) {
      inside[i] = std::min(
          inside[i], prices.slot_ms * (at[i + 1] - at[i]) + inside[i + 1]);
    }
    double least = demand.patience_ms + outside[i + 1];
    double waited = 0;
    for (std::size_t k = i; k < count; ++k) {
      if (at[k] > at[i] + demand.patience_ms) break;
      if (k > i) waited += static_cast<double>(k - i) * (at[k] - at[k - 1]);
      if (load_price + waited >= least) break;
      least = std::min(least, load_price + waited + inside[k]);
    }
    outside[i] = least;
  }
  return outside[0];
}

/// Returns the least value of \p bound over prices up to \p most. It is convex
/// in them, so that the logarithms of the prices can be searched one inside the
/// other; every value that is met on the way is a bound.
double SearchPrices(const Prices& most,
                    const std::function<double(const Prices&)>& bound) {
  constexpr int kBits = 10;
  constexpr double kLeastShare = 1e-6;
  const double lowest = std::log(kLeastShare);
  double least = bound(Prices());
  const auto best_for = [&](double load) {
    const auto at_slot_price = [&](double slot) {
      return bound({most.load * std::exp(load), most.slot_ms * std::exp(slot)});
    };
    const double value =
        boost::math::tools::brent_find_minima(at_slot_price, lowest, 0.0, kBits)
            .second;
    least = std::min(least, value);
    return value;
  };
  boost::math::tools::brent_find_minima(best_for, lowest, 0.0, kBits);
  return least;
}

}  // namespace

ResidencyBounds FindResidencyBounds(const Scenario& scenario,
                                    const Workload& workload) {
  const std::vector<Demand> demands = CollectDemands(scenario, workload);
  ResidencyBounds bounds;
  if (demands.empty()) return bounds;
  const Supply supply = MakeSupply(scenario, demands);
  double requests = 0;
  for (const Demand& demand : demands) {
    requests += static_cast<double>(demand.arrivals_ms.size());
  }
  // No adapter of the workloads pays more: two answers for a load, and five a
  // second for a slot; a minute's stall, and twenty stalls of a second.
  const Prices most_answers{2, 0.005};
  const Prices most_stalls{60'000, 20};
  const double answered = SearchPrices(most_answers, [&](const Prices& prices) {
    double sum = supply.Worth(prices);
    for (const Demand& d : demands) sum += MostAnswered(d, prices);
    return sum;
  });
  const double stalls = -SearchPrices(most_stalls, [&](const Prices& prices) {
    double sum = supply.Worth(prices);
    for (const Demand& d : demands) sum -= LeastCost(d, prices);
    return sum;
  });
  bounds.answered_share = std::min(1.0, answered / requests);
  bounds.stall_ms = std::max(0.0, stalls / requests);
  return bounds;
}

}  // namespace yuccamoor::placement_benchmark
