#include "workers.h"

#include <chrono>
#include <utility>
#include <vector>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kHeartbeatMs = 1'200;
constexpr std::size_t kAdapterSlots = 29;
constexpr std::int64_t kLoadMs = 250;
constexpr std::int64_t kKnownLoadMs = 25;
constexpr int kEvents = 12;
constexpr std::int64_t kEventMs = 30;

Json RouteJson(const std::string& name, const std::string& prefix,
               const std::string& kind, const std::string& service) {
  return Json{{"name", name},  {"host", kHost},        {"prefix", prefix},
              {"kind", kind},  {"timeout-ms", 25'000}, {"slo-ms", 800},
              {"priority", 0}, {"service", service},   {"max-attempts", 2}};
}

}  // namespace

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void PutConfig(Store& store, std::uint64_t version) {
  Json stream = RouteJson("r-stream", "/pufi791/", "stream", kModelService);
  stream["sticky"] = true;
  stream["resumable"] = true;
  stream["gap-aim-ms"] = 250;
  Json unsafe = RouteJson("r-unsafe", "/puxa403/", "unsafe", kPlainService);
  unsafe["timeout-ms"] = 1'000;
  Json safe = RouteJson("r-safe", "/cufi504/", "safe", kPlainService);
  const Json model{{"name", kModelName}, {"weights-mb", 34300.0},
                   {"load-s", 1.3},      {"adapters", 3000},
                   {"adapter-mb", 40.0}, {"warm-s", 0.28},
                   {"disk-s", 0.52}};
  const Json engine{{"slots", 64},
                    {"kv-capacity", 154986},
                    {"models", Json::array({model})},
                    {"weights-mb", 36200.0},
                    {"adapter-slots", kAdapterSlots},
                    {"loads-per-s", 2.6}};
  Json config;
  config["version"] = version;
  config["routes"] = Json::array({stream, unsafe, safe});
  config["services"] = Json::array({Json{{"name", kModelService},
                                         {"health-path", "/health"},
                                         {"max-conns", 370},
                                         {"engine", engine}},
                                    Json{{"name", kPlainService},
                                         {"health-path", "/health"},
                                         {"max-conns", 110}}});
  config["limits"] = Json{{"max-header-bytes", 16'384},
                          {"max-body-bytes", 4'194'304},
                          {"header-timeout-ms", 3'000},
                          {"idle-timeout-ms", 15'000}};
  store.Put("op/config", config.dump());
}

std::string SoundAnswer(const Message& request, const std::string& worker,
                        const std::string& body) {
  const std::string attempt = request.Find("Attempt-Id");
  return ResponseText(200,
                      "Attempt-Id: " + attempt + "\r\nResponse-Stamp: " +
                          worker + "." + attempt + "\r\n",
                      body);
}

Registration::Registration(Store& store, std::string id,
                           std::function<std::string()> entry)
    : m_store(store), m_id(std::move(id)), m_entry(std::move(entry)) {
  m_thread = std::thread([this] {
    std::int64_t next = 0;
    while (!m_stopping) {
      if (NowMs() >= next) {
        m_store.Put("servers/" + m_id, m_entry());
        next = NowMs() + kHeartbeatMs;
      }
      SleepMs(20);
    }
  });
}

Registration::~Registration() {
  m_stopping = true;
  m_thread.join();
}

ModelWorker::ModelWorker(Store& store, std::string id, std::string zone,
                         OnOrder on_order)
    : m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_on_order(std::move(on_order)),
      m_born(UnixMs()),
      m_server([this](int fd) { Serve(fd); }),
      m_registration(store, m_id, [this] { return Entry(); }) {}

std::string ModelWorker::Entry() {
  const std::lock_guard lock(m_mutex);
  Json entry;
  entry["service"] = kModelService;
  entry["addr"] = "127.0.0.1:" + std::to_string(m_server.port());
  entry["zone"] = m_zone;
  entry["version"] = "v1";
  entry["slots"] = 64;
  entry["state"] = "ready";
  entry["cold-left-ms"] = 0;
  entry["stage"] = "mixed";
  entry["born"] = m_born;
  entry["seq"] = m_seq;
  Json names = Json::array();
  for (const auto& [name, adapter] : m_adapters) {
    if (NowMs() >= adapter.ready_at) names.push_back(name + "@1");
  }
  entry["models"] = Json::array(
      {Json{{"name", kModelName}, {"version", 1}, {"adapters", names}}});
  return entry.dump();
}

void ModelWorker::Serve(int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, buffer, request) == ReadEnd::kWhole) {
    if (!Answer(fd, request)) return;
  }
}

bool ModelWorker::Answer(int fd, const Message& request) {
  const std::string expected = request.Find("Expect-Instance");
  if (!expected.empty() && expected != m_id) {
    return WriteAll(fd, ResponseText(421, "Instance-Id: " + m_id + "\r\n", ""));
  }
  if (request.target == "/order") return WriteAll(fd, TakeOrder(request));
  if (request.target == "/report") return WriteAll(fd, Report());
  return Stream(fd, request);
}

std::string ModelWorker::TakeOrder(const Message& request) {
  const Json order = Json::parse(request.body);
  ReceivedOrder received;
  received.at = NowMs();
  received.worker = m_id;
  received.holder = order.value("holder", "");
  received.fence = order.value("fence", std::uint64_t{0});
  received.text = order.dump();
  const std::lock_guard lock(m_mutex);
  m_on_order(received);
  const auto name = order.value("adapter", std::string());
  if (order.contains("expected") &&
      order["expected"].get<std::uint64_t>() != m_seq) {
    return ResponseText(409, "", "");
  }
  // The model itself is there from the start.
  if (name.empty()) return ResponseText(200, "", "");
  const auto adapter = m_adapters.find(name);
  if (order.at("op") == "load") {
    if (adapter != m_adapters.end()) return ResponseText(200, "", "");
    if (m_adapters.size() >= kAdapterSlots) return ResponseText(409, "", "");
    const bool is_known = !m_known.insert(name).second;
    m_adapters[name].ready_at = NowMs() + (is_known ? kKnownLoadMs : kLoadMs);
    ++m_seq;
    return ResponseText(202, "", "");
  }
  if (adapter == m_adapters.end()) return ResponseText(200, "", "");
  ++m_seq;
  if (adapter->second.running > 0) {
    adapter->second.leaving = true;
    return ResponseText(202, "", "");
  }
  m_adapters.erase(adapter);
  return ResponseText(200, "", "");
}

std::string ModelWorker::Report() {
  const std::lock_guard lock(m_mutex);
  Json names = Json::array();
  Json coming = Json::array();
  for (const auto& [name, adapter] : m_adapters) {
    if (NowMs() >= adapter.ready_at) {
      names.push_back(name + "@1");
    } else {
      coming.push_back(std::string(kModelName) + "/" + name + "@1");
    }
  }
  Json report;
  report["stage"] = "mixed";
  report["born"] = m_born;
  report["models"] = Json::array(
      {Json{{"name", kModelName}, {"version", 1}, {"adapters", names}}});
  report["coming"] = coming;
  report["in-use"] = false;
  report["seq"] = m_seq;
  report["queued"] = 0;
  report["active"] = m_active;
  report["kv-used"] = 0;
  report["kv-total"] = 154'986;
  report["handles"] = 0;
  return ResponseText(200, "Content-Type: application/json\r\n", report.dump());
}

void ModelWorker::SetTrouble(std::function<bool(int fd)> trouble) {
  m_trouble = std::move(trouble);
}

bool ModelWorker::Stream(int fd, const Message& request) {
  const std::string model = request.Find("Model");
  const std::size_t slash = model.find('/');
  const std::string name =
      slash == std::string::npos ? "" : model.substr(slash + 1);
  const std::string attempt = request.Find("Attempt-Id");
  {
    const std::lock_guard lock(m_mutex);
    const auto adapter = m_adapters.find(name);
    const bool is_there = adapter != m_adapters.end() &&
                          NowMs() >= adapter->second.ready_at &&
                          !adapter->second.leaving;
    if (!name.empty() && !is_there) {
      return WriteAll(fd,
                      ResponseText(421,
                                   "Not-Run: 1\r\nInstance-Id: " + m_id +
                                       "\r\nAttempt-Id: " + attempt + "\r\n",
                                   ""));
    }
    if (!name.empty()) ++adapter->second.running;
    ++m_active;
  }
  const bool is_troubled = m_trouble && m_trouble(fd);
  bool is_open =
      !is_troubled &&
      WriteAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                       "\r\nResponse-Stamp: " + m_id + "." + attempt +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 1; i <= kEvents && is_open; ++i) {
    SleepMs(kEventMs);
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    is_open = WriteAll(fd, size + event + "\r\n");
  }
  if (is_open) is_open = WriteAll(fd, "0\r\n\r\n");
  const std::lock_guard lock(m_mutex);
  if (!name.empty()) {
    Adapter& adapter = m_adapters[name];
    if (--adapter.running == 0 && adapter.leaving) m_adapters.erase(name);
  }
  --m_active;
  return is_open;
}

std::string PlainEntry(std::uint16_t port, const std::string& zone,
                       const std::string& state,
                       std::optional<std::int64_t> born) {
  Json entry{{"service", kPlainService},
             {"addr", "127.0.0.1:" + std::to_string(port)},
             {"zone", zone},
             {"version", "v1"},
             {"slots", 6},
             {"state", state},
             {"cold-left-ms", 0},
             {"seq", 0}};
  if (born) entry["born"] = *born;
  return entry.dump();
}

PlainWorker::PlainWorker(Store& store, std::string id, std::string zone,
                         Server::Handler handler)
    : m_born(UnixMs()),
      m_server(std::move(handler)),
      m_registration(store, std::move(id), [this, zone = std::move(zone)] {
        return PlainEntry(port(), zone, m_draining ? "draining" : "ready",
                          m_born);
      }) {}

}  // namespace review
