/// \file
/// \brief A model server: streams events, carries out orders for adapters, and
/// rejects a request that is larger than its memory as if it were full.

#ifndef REVIEW_STANDINS_3_ENGINE_SERVER_H_
#define REVIEW_STANDINS_3_ENGINE_SERVER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

struct EngineOptions {
  std::string id;
  std::string ip;
  std::string model = "m0";
  std::uint64_t born = 0;
  /// Prompt and output together, in tokens.
  std::uint64_t memory_tokens = 154'986;
  int events = 5;
  std::int64_t event_ms = 20;
  std::int64_t adapter_load_ms = 250;
};

/// An order as it has arrived.
struct OrderArrival {
  /// By the steady clock.
  std::int64_t at_ms = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

/// Holds one model, and the adapters that it is ordered to hold. Does not check
/// fencing tokens.
class EngineServer {
 public:
  EngineServer(EngineOptions options, Record& record);

  const std::string& id() const { return m_options.id; }
  std::string address() const { return m_server.address(); }
  std::vector<OrderArrival> Orders() const;

 private:
  void Serve(Connection& connection);
  bool Answer(Connection& connection, const Message& request);
  bool AnswerReport(Connection& connection, const Message& request);
  bool AnswerOrder(Connection& connection, const Message& request);
  int CarryOut(const nlohmann::json& order);
  bool Holds(const Message& request) const;
  bool Reject(Connection& connection, const Message& request, int status);
  bool Stream(Connection& connection, const Message& request);

  EngineOptions m_options;
  Record& m_record;
  mutable std::mutex m_mutex;
  // When each adapter is loaded, by the steady clock.
  std::map<std::string, std::int64_t> m_adapters;
  std::uint64_t m_accepted = 0;
  std::vector<OrderArrival> m_orders;
  Server m_server;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_ENGINE_SERVER_H_
