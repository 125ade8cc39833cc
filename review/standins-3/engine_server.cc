#include "engine_server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "trial.h"

namespace review {

namespace {

constexpr std::int64_t kIdleMs = 60'000;
constexpr int kMisdirected = 421;
constexpr int kFull = 503;
constexpr int kBadOrder = 400;
constexpr int kConflict = 409;
constexpr std::size_t kAdapterPlaces = 29;

// The adapter of "MODEL/ADAPTER"; empty for the model itself.
std::string AdapterOf(const Message& request) {
  const std::string model = request.Find("Model");
  const std::size_t slash = model.find('/');
  return slash == std::string::npos ? "" : model.substr(slash + 1);
}

// The prompt's tokens and the most tokens of the output.
std::uint64_t TokensOf(const Message& request) {
  const std::string text = request.Find("Token-Count");
  const std::size_t comma = text.find(',');
  std::uint64_t tokens = std::strtoull(text.c_str(), nullptr, 10);
  if (comma != std::string::npos) {
    tokens += std::strtoull(text.c_str() + comma + 1, nullptr, 10);
  }
  return tokens;
}

std::string Chunk(const std::string& data) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = data.size(); rest > 0; rest /= 16) {
    size.insert(size.begin(), kDigits[rest % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

}  // namespace

EngineServer::EngineServer(EngineOptions options, Record& record)
    : m_options(std::move(options)),
      m_record(record),
      m_server(m_options.ip, 0,
               [this](Connection& connection) { Serve(connection); }) {}

void EngineServer::Serve(Connection& connection) {
  Message request;
  while (connection.ReadRequest(request, kIdleMs) == ReadEnd::kWhole) {
    if (!Answer(connection, request)) return;
  }
}

bool EngineServer::Answer(Connection& connection, const Message& request) {
  if (request.Has("Expect-Instance") &&
      request.Find("Expect-Instance") != m_options.id) {
    return Reject(connection, request, kMisdirected);
  }
  if (request.target() == "/report") return AnswerReport(connection, request);
  if (request.target() == "/order") return AnswerOrder(connection, request);
  if (!Holds(request)) return Reject(connection, request, kMisdirected);
  const std::string attempt = request.Find("Attempt-Id");
  m_record.Line("server " + m_options.id + ": " + attempt +
                " arrives, Token-Count " + request.Find("Token-Count"));
  if (TokensOf(request) > m_options.memory_tokens) {
    m_record.Line("server " + m_options.id + ": " + attempt +
                  " is larger than the memory, 503 and not run");
    return Reject(connection, request, kFull);
  }
  return Stream(connection, request);
}

bool EngineServer::AnswerReport(Connection& connection,
                                const Message& request) {
  nlohmann::json adapters = nlohmann::json::array();
  nlohmann::json coming = nlohmann::json::array();
  std::uint64_t accepted = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    accepted = m_accepted;
    for (const auto& [adapter, ready_at] : m_adapters) {
      if (NowMs() >= ready_at) {
        adapters.push_back(adapter + "@1");
      } else {
        coming.push_back(m_options.model + "/" + adapter + "@1");
      }
    }
  }
  nlohmann::json report;
  report["stage"] = "mixed";
  report["models"] = {
      {{"name", m_options.model}, {"version", 1}, {"adapters", adapters}}};
  report["coming"] = coming;
  report["in-use"] = false;
  report["seq"] = accepted;
  report["queued"] = 0;
  report["active"] = 0;
  report["kv-used"] = 0;
  report["kv-total"] = m_options.memory_tokens;
  report["handles"] = 0;
  report["born"] = m_options.born;
  const std::string body = report.dump();
  return connection.Write(AnswerHead(200, request,
                                     "Content-Type: application/json\r\n",
                                     body.size()) +
                          body);
}

std::vector<OrderArrival> EngineServer::Orders() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_orders;
}

bool EngineServer::Holds(const Message& request) const {
  const std::string adapter = AdapterOf(request);
  if (adapter.empty()) return true;
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_adapters.find(adapter);
  return it != m_adapters.end() && NowMs() >= it->second;
}

int EngineServer::CarryOut(const nlohmann::json& order) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_orders.push_back({NowMs(), order.at("holder").get<std::string>(),
                      order.at("fence").get<std::uint64_t>()});
  if (order.contains("expected") &&
      order["expected"].get<std::uint64_t>() != m_accepted) {
    return kConflict;
  }
  const std::string adapter = order.value("adapter", "");
  if (adapter.empty()) return 200;
  const auto it = m_adapters.find(adapter);
  if (order.at("op") == "unload") {
    ++m_accepted;
    m_adapters.erase(adapter);
    return 200;
  }
  if (it != m_adapters.end()) return NowMs() >= it->second ? 200 : 202;
  if (m_adapters.size() >= kAdapterPlaces) return kBadOrder;
  ++m_accepted;
  m_adapters[adapter] = NowMs() + m_options.adapter_load_ms;
  return 202;
}

bool EngineServer::AnswerOrder(Connection& connection, const Message& request) {
  const auto order = nlohmann::json::parse(request.body, nullptr, false);
  const bool is_whole = order.is_object() && order.contains("holder") &&
                        order.contains("fence") && order.contains("op");
  const int status = is_whole ? CarryOut(order) : kBadOrder;
  m_record.Line("server " + m_options.id + ": order " + request.body +
                " is answered " + std::to_string(status));
  return connection.Write(AnswerHead(status, request, "", 0));
}

bool EngineServer::Reject(Connection& connection, const Message& request,
                          int status) {
  return connection.Write(
      AnswerHead(status, request,
                 "Not-Run: 1\r\nInstance-Id: " + m_options.id + "\r\n", 0));
}

bool EngineServer::Stream(Connection& connection, const Message& request) {
  const std::string attempt = request.Find("Attempt-Id");
  std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                     "\r\nResponse-Stamp: " + m_options.id + "." + attempt +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection.Write(head)) return false;
  for (int i = 1; i <= m_options.events; ++i) {
    SleepMs(m_options.event_ms);
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
    if (!connection.Write(Chunk(event))) return false;
  }
  m_record.Line("server " + m_options.id + ": " + attempt + " has run");
  return connection.Write("0\r\n\r\n");
}

}  // namespace review
