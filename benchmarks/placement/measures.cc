/// \file
/// \brief Implementation of the benchmark's measures.

#include "measures.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace yuccamoor::placement_benchmark {
namespace {

namespace acc = boost::accumulators;

void AppendTo(std::vector<double>* to, const std::vector<double>& from) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

void Samples::Append(const Samples& other) {
  AppendTo(&stalls_ms, other.stalls_ms);
  AppendTo(&stalls_before_ms, other.stalls_before_ms);
  AppendTo(&stalls_after_ms, other.stalls_after_ms);
  AppendTo(&decisions_us, other.decisions_us);
  AppendTo(&proposals_us, other.proposals_us);
  answered += other.answered;
  refused += other.refused;
  expired += other.expired;
  running_ms += other.running_ms;
  capacity_ms += other.capacity_ms;
  served_ms += other.served_ms;
  orders.loads += other.orders.loads;
  orders.evictions += other.orders.evictions;
  orders.wasted_loads += other.orders.wasted_loads;
  orders.rejected += other.orders.rejected;
}

Distribution Summarise(const std::vector<double>& samples) {
  if (samples.empty()) return {};
  using Set = acc::accumulator_set<
      double, acc::stats<acc::tag::mean, acc::tag::tail_quantile<acc::right>>>;
  // The whole set is kept as the tail, so that the quantiles are exact.
  Set set(acc::tag::tail<acc::right>::cache_size = samples.size());
  for (const double sample : samples) set(sample);
  const auto quantile = [&](double probability) {
    return acc::quantile(set, acc::quantile_probability = probability);
  };
  return {acc::mean(set), quantile(0.50), quantile(0.95), quantile(0.99)};
}

Figures MakeFigures(const Samples& samples) {
  Figures figures;
  figures.requests = samples.stalls_ms.size();
  figures.stall_ms = Summarise(samples.stalls_ms);
  figures.stall_before_ms = Summarise(samples.stalls_before_ms);
  figures.stall_after_ms = Summarise(samples.stalls_after_ms);
  const auto requests = static_cast<double>(figures.requests);
  if (figures.requests > 0) {
    figures.answered_share = static_cast<double>(samples.answered) / requests;
    figures.refused_share = static_cast<double>(samples.refused) / requests;
  }
  if (figures.requests > 0) {
    const auto warm =
        std::count(samples.stalls_ms.begin(), samples.stalls_ms.end(), 0.0);
    figures.warm_share = static_cast<double>(warm) / requests;
  }
  if (samples.capacity_ms > 0) {
    figures.batch_fill = samples.running_ms / samples.capacity_ms;
    figures.useful_fill = samples.served_ms / samples.capacity_ms;
  }
  figures.orders = samples.orders;
  figures.decision_us = Summarise(samples.decisions_us).p50;
  figures.proposal_us = Summarise(samples.proposals_us).p50;
  return figures;
}

}  // namespace yuccamoor::placement_benchmark
