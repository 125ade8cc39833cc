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
    std::string failure = m_call(gateway, number);
    if (failure.empty()) {
      ++m_answered;
      continue;
    }
    ++m_failed;
    m_failure = std::move(failure);
  }
}

SteadyCall ShortChats(Cluster& cluster) {
  return [&cluster](int gateway, int number) {
    const std::string model = "a" + std::to_string(number / 2 % 2) + "@v1";
    const HttpReply reply = cluster.Chat(gateway, model, "steady");
    return IsAnswered(reply) ? "" : reply.error + reply.response.body;
  };
}

}  // namespace yuccamoor
