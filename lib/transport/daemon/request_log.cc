/// \file
/// \brief Implementation of the log of recent requests.

#include "yuccamoor/transport/daemon/request_log.h"

#include <utility>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

void RequestLog::Add(RequestRecord record) {
  const std::lock_guard lock(m_mutex);
  const RequestId id = record.id;
  const bool known = !m_records.insert_or_assign(id, std::move(record)).second;
  if (known) return;
  m_order.push_back(id);
  if (m_order.size() <= kMaxRequests) return;
  m_records.erase(m_order.front());
  m_order.pop_front();
}

std::optional<RequestRecord> RequestLog::Find(const RequestId& id) const {
  const std::lock_guard lock(m_mutex);
  const auto it = m_records.find(id);
  if (it == m_records.end()) return std::nullopt;
  return it->second;
}

std::string EncodeRequestRecord(const RequestRecord& record) {
  Json attempts = Json::array();
  for (const AttemptRecord& attempt : record.attempts) {
    attempts.push_back({{"where", attempt.where},
                        {"end", attempt.end},
                        {"duration_ms", attempt.duration}});
  }
  Json json{{"request", record.id},
            {"target", record.target},
            {"outcome", OutcomeName(record.outcome)},
            {"status", record.status},
            {"waited_for_adapter_ms", record.waited},
            {"duration_ms", record.duration},
            {"attempts", std::move(attempts)}};
  if (!record.error.empty()) json["error"] = record.error;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace yuccamoor
