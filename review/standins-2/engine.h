/// \file
/// \brief A stand-in for a model worker: takes orders, tells its state and
/// streams answers.

#ifndef YUCCAMOOR_REVIEW_STANDINS_2_ENGINE_H_
#define YUCCAMOOR_REVIEW_STANDINS_2_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "fleet.h"
#include "net.h"
#include "store.h"

namespace review {

inline constexpr char kModel[] = "m1";

/// The service of the workers, as the operator configures it.
inline Json EngineService() {
  const Json model{{"name", kModel},     {"weights-mb", 34'300.0},
                   {"load-s", 1.3},      {"adapters", 3'000},
                   {"adapter-mb", 40.0}, {"warm-s", 0.28},
                   {"disk-s", 0.52}};
  const Json engine{{"slots", 64},
                    {"kv-capacity", 154'986},
                    {"kv-token-bytes", 327'680},
                    {"stride", 5},
                    {"models", Json::array({model})},
                    {"weights-mb", 36'200.0},
                    {"adapter-slots", 29},
                    {"loads-per-s", 2.6}};
  return Json{{"name", "chat"},   {"health-path", "/health"},
              {"max-conns", 370}, {"protocol", "h1"},
              {"tls", false},     {"engine", engine}};
}

inline Json StreamRoute(std::int64_t timeout_ms) {
  return Json{
      {"name", "r-chat"}, {"host", "shop.example"},   {"prefix", "/chat/"},
      {"kind", "stream"}, {"timeout-ms", timeout_ms}, {"slo-ms", 800},
      {"priority", 0},    {"service", "chat"},        {"max-attempts", 1},
      {"sticky", true},   {"resumable", false},       {"gap-aim-ms", 250}};
}

struct EngineOptions {
  std::string id;
  std::string zone;
  std::string ip;
  std::int64_t load_ms = 250;
  std::int64_t first_event_ms = 40;
  int events = 4;
  /// A request with this body crashes the worker, if it is set.
  std::string deadly{};
};

/// Holds the model from the start, and the adapters that it is ordered to load.
class Engine {
 public:
  Engine(EngineOptions options, Store& store, Record& record)
      : m_options(std::move(options)),
        m_record(record),
        m_server(m_options.ip, 0,
                 [this](const Message& request, Connection& peer) {
                   return Serve(request, peer);
                 }) {
    Register(store);
  }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  const std::string& id() const { return m_options.id; }
  const std::string& zone() const { return m_options.zone; }
  const Address& address() const { return m_server.address(); }

  /// Writes the worker's entry, as each heartbeat does.
  bool Register(Store& store) {
    const std::lock_guard lock(m_mutex);
    Json entry{{"service", "chat"},
               {"addr", m_server.address().str()},
               {"zone", m_options.zone},
               {"version", "v1"},
               {"slots", 64},
               {"state", m_leaving ? "draining" : "ready"},
               {"cold-left-ms", 0},
               {"born", 1'790'000'000'000},
               {"stage", "mixed"},
               {"seq", m_sequence}};
    entry["models"] = Models();
    return store.Put("servers/" + m_options.id, entry.dump());
  }

  /// From now on the worker says that it leaves, in its entry and its answers.
  void SayLeaving() { m_leaving = true; }

  /// The worker is gone, with all that it runs.
  void End() {
    m_ended = true;
    m_server.Stop();
  }
  bool ended() const { return m_ended; }
  /// Whether the worker has begun to run what crashes it.
  bool crashes() const { return m_crashes; }

  int runs() const { return m_runs; }
  int rejected() const { return m_rejected; }

  /// Called with holder and fencing token of each order that comes.
  std::function<void(const std::string& holder, std::uint64_t fence)> on_order;

  /// Called with the id of each request that comes.
  std::function<void(const std::string& attempt)> on_request;

 private:
  using Lock = std::lock_guard<std::mutex>;

  Json Models() const {
    Json adapters = Json::array();
    for (const auto& [name, ready_at] : m_adapters) {
      if (ElapsedMs() >= ready_at) adapters.push_back(name + "@1");
    }
    return Json::array(
        {Json{{"name", kModel}, {"version", 1}, {"adapters", adapters}}});
  }

  bool Serve(const Message& request, Connection& peer) {
    const std::string expected = request.Find("Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
      return peer.Send(Answer(
          421, "Not-Run: 1\r\nInstance-Id: " + m_options.id + "\r\n", ""));
    }
    if (request.target == "/report") return Report(peer);
    if (request.target == "/order") return Order(request, peer);
    return Generate(request, peer);
  }

  bool Report(Connection& peer) {
    const Lock lock(m_mutex);
    Json coming = Json::array();
    for (const auto& [name, ready_at] : m_adapters) {
      if (ElapsedMs() < ready_at) {
        coming.push_back(std::string(kModel) + "/" + name + "@1");
      }
    }
    const Json report{{"stage", "mixed"},
                      {"models", Models()},
                      {"in-use", false},
                      {"seq", m_sequence},
                      {"born", 1'790'000'000'000},
                      {"coming", coming},
                      {"queued", 0},
                      {"active", 0},
                      {"kv-used", 0},
                      {"kv-total", 154'986},
                      {"handles", 0}};
    return peer.Send(
        Answer(200, "Content-Type: application/json\r\n", report.dump()));
  }

  bool Order(const Message& request, Connection& peer) {
    const Json order = Json::parse(request.body);
    const Lock lock(m_mutex);
    if (on_order) on_order(order.at("holder"), order.at("fence"));
    const std::string name = order.value("adapter", "");
    const bool is_load = order.at("op") == "load";
    int status = 202;
    const auto it = m_adapters.find(name);
    const bool has = it != m_adapters.end();
    if (order.contains("expected") &&
        order["expected"].get<std::uint64_t>() != m_sequence) {
      status = 409;
    } else if (name.empty()) {
      status = is_load ? 200 : 400;
    } else if (!IsKnown(name)) {
      status = 400;
    } else if (is_load && has) {
      status = ElapsedMs() >= it->second ? 200 : 202;
    } else if (is_load) {
      m_adapters[name] = ElapsedMs() + m_options.load_ms;
      ++m_sequence;
    } else if (has) {
      m_adapters.erase(it);
      ++m_sequence;
      status = 200;
    } else {
      status = 400;
    }
    m_record.Line(m_options.id + " order " + request.body + " -> " +
                  std::to_string(status));
    return peer.Send(Answer(status, "", ""));
  }

  /// The model's adapters are a1, a2 and so on.
  static bool IsKnown(const std::string& name) {
    constexpr int kAdapters = 3'000;
    const int number = std::atoi(name.c_str() + 1);
    return name == "a" + std::to_string(number) && number >= 1 &&
           number <= kAdapters;
  }

  bool Holds(const std::string& model) {
    const std::size_t slash = model.find('/');
    if (slash == std::string::npos) return model == kModel;
    const Lock lock(m_mutex);
    const auto it = m_adapters.find(model.substr(slash + 1));
    return it != m_adapters.end() && ElapsedMs() >= it->second;
  }

  bool Generate(const Message& request, Connection& peer) {
    constexpr std::uint64_t kMemoryTokens = 154'986;
    const std::string attempt = request.Find("Attempt-Id");
    const std::string fields = "Attempt-Id: " + attempt + "\r\n" +
                               (m_leaving ? "Server-Leaving: 1\r\n" : "");
    if (on_request) on_request(attempt);
    if (!Holds(request.Find("Model"))) {
      m_record.Line(m_options.id + " rejects " + attempt + ": no adapter");
      return peer.Send(Answer(421, fields + "Not-Run: 1\r\n", ""));
    }
    const std::string tokens = request.Find("Token-Count");
    if (std::strtoull(tokens.c_str(), nullptr, 10) > kMemoryTokens) {
      ++m_rejected;
      m_record.Line(m_options.id + " rejects " + attempt +
                    ": larger than its memory, tokens " + tokens);
      return peer.Send(Answer(503, fields + "Not-Run: 1\r\n", ""));
    }
    ++m_runs;
    m_record.Line(m_options.id + " runs " + attempt);
    if (!m_options.deadly.empty() && request.body == m_options.deadly) {
      m_crashes = true;
      return false;
    }
    SleepMs(m_options.first_event_ms);
    if (!peer.Send("HTTP/1.1 200 OK\r\n" + fields +
                   "Response-Stamp: " + m_options.id +
                   "\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= m_options.events; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", event.size());
      if (!peer.Send(std::string(size) + "\r\n" + event + "\r\n")) return false;
      SleepMs(30);
    }
    return peer.Send("0\r\n\r\n");
  }

  EngineOptions m_options;
  Record& m_record;
  std::mutex m_mutex;
  // Names of adapters, and when each is or was there.
  std::map<std::string, std::int64_t> m_adapters;
  std::uint64_t m_sequence = 0;
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_ended{false};
  std::atomic<bool> m_crashes{false};
  std::atomic<int> m_runs{0};
  std::atomic<int> m_rejected{0};
  Server m_server;
};

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_STANDINS_2_ENGINE_H_
