/// \file
/// \brief A model server: streams events, and rejects a request that is larger
/// than its memory as if it were full.

#ifndef REVIEW_STANDINS_3_ENGINE_SERVER_H_
#define REVIEW_STANDINS_3_ENGINE_SERVER_H_

#include <cstdint>
#include <string>

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
};

/// Holds one model without adapters and carries out no orders: none is needed.
class EngineServer {
 public:
  EngineServer(EngineOptions options, Record& record);

  const std::string& id() const { return m_options.id; }
  std::string address() const { return m_server.address(); }

 private:
  void Serve(Connection& connection);
  bool Answer(Connection& connection, const Message& request);
  bool AnswerReport(Connection& connection, const Message& request);
  bool Reject(Connection& connection, const Message& request, int status);
  bool Stream(Connection& connection, const Message& request);

  EngineOptions m_options;
  Record& m_record;
  Server m_server;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_ENGINE_SERVER_H_
