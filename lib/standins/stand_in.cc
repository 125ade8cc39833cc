/// \file
/// \brief The faults that every stand-in knows.

#include "yuccamoor/standins/stand_in.h"

#include <exception>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

bool FaultSwitches::Set(std::string_view json_text) {
  try {
    const Json json = Json::parse(json_text);
    const std::lock_guard lock(m_mutex);
    const bool down = json.value("down", m_down);
    const DurationMs slow(json.value("slow_ms", m_slow.ms()));
    const std::uint32_t lose_next = json.value("lose_answer", m_lose_next);
    const double probability =
        json.value("lose_probability", m_lose_probability);
    if (json.contains("seed")) {
      m_random.seed(json.at("seed").get<std::uint64_t>());
    }
    m_down = down;
    m_slow = slow;
    m_lose_next = lose_next;
    m_lose_probability = probability;
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

bool FaultSwitches::down() const {
  const std::lock_guard lock(m_mutex);
  return m_down;
}

DurationMs FaultSwitches::slow() const {
  const std::lock_guard lock(m_mutex);
  return m_slow;
}

bool FaultSwitches::TakeLostAnswer() {
  const std::lock_guard lock(m_mutex);
  if (m_lose_next > 0) {
    --m_lose_next;
    return true;
  }
  if (m_lose_probability <= 0) return false;
  return std::uniform_real_distribution<double>()(m_random) <
         m_lose_probability;
}

Awaitable<bool> HandleFaults(HttpExchange& exchange, FaultSwitches& faults) {
  const HttpRequest& request = exchange.request();
  if (request.target != "/faults" || request.method != "POST") co_return false;
  const bool known = faults.Set(request.body);
  co_await exchange.Send(JsonResponse(known ? 200 : 400, "{}"));
  co_return true;
}

Awaitable<bool> HandleOutage(HttpExchange& exchange,
                             const FaultSwitches& faults) {
  const DurationMs slow = faults.slow();
  if (slow > DurationMs(0)) co_await SleepFor(slow);
  if (!faults.down()) co_return false;
  co_await exchange.Send(JsonResponse(503, R"({"error":"down"})"));
  co_return true;
}

}  // namespace yuccamoor
