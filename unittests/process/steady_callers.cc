/// \file
/// \brief Implementation of the steady callers.

#include "process/steady_callers.h"

#include <utility>

#include "process/answers.h"

namespace yuccamoor {

SteadyCallers::SteadyCallers(Cluster& cluster, int gateways, SteadyCall call)
    : m_cluster(cluster),
      m_gateways(gateways),
      m_call(std::move(call)),
      m_thread([this] { Run(); }) {}

SteadyCallers::~SteadyCallers() { Stop(); }

void SteadyCallers::Stop() {
  m_stop = true;
  if (m_thread.joinable()) m_thread.join();
}

void SteadyCallers::Run() {
  for (int number = 0; !m_stop; ++number) {
    const int gateway = number % m_gateways;
    if (!m_cluster.IsReady("gateway" + std::to_string(gateway))) continue;
    SteadyResult result = m_call(gateway, number);
    if (!result.sent) {
      ++m_unsent;
      continue;
    }
    if (result.failure.empty()) {
      ++m_answered;
      continue;
    }
    ++m_failed;
    m_failure = std::move(result.failure);
  }
}

SteadyResult ResultOf(const HttpReply& reply) {
  SteadyResult result;
  result.sent = reply.progress != HttpProgress::kNotSent;
  if (!IsAnswered(reply)) result.failure = reply.error + reply.response.body;
  return result;
}

SteadyCall ShortChats(Cluster& cluster) {
  return [&cluster](int gateway, int number) {
    const std::string model = "a" + std::to_string(number / 2 % 2) + "@v1";
    return ResultOf(cluster.Chat(gateway, model, "steady"));
  };
}

}  // namespace yuccamoor
