#include "clients/node_under_test.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace yuccamoor {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kKilobyte = 1'024;
constexpr char kEndpointKey[] = "servers/e1";
constexpr DurationMs kForever{600'000};

// The bounds of a small deployment.
constexpr char kBounds[] =
    "node-name=n1\nzone=z1\nbootstrap=true\nbounds.grace-s=8\n"
    "bounds.drain-ms=2000\nbounds.config-apply-ms=2000\n"
    "bounds.lease-ttl-ms=3000\nbounds.retry-budget=0.2\n"
    "bounds.budget-window-s=10\nbounds.budget-slack=58\n";

std::uint64_t Number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool IsFree(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
  ::close(fd);
  return is_free;
}

// Returns a port whose successor is free as well. The kernel gives none of
// these to outgoing connections.
std::uint16_t FreePorts() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  static int next = ::getpid();
  for (;;) {
    next += 2;
    const auto port = static_cast<std::uint16_t>(kFirst + next % kCount);
    if (IsFree(port) && IsFree(port + 1)) return port;
  }
}

// The value of a line such as "VmRSS:  1234 kB", in bytes.
std::size_t StatusBytes(const std::string& folder, const std::string& name) {
  std::ifstream file(folder + "/status");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(name + ":")) continue;
    return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10) *
           kKilobyte;
  }
  return 0;
}

std::size_t CountSockets(const std::string& folder) {
  std::size_t sockets = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder + "/fd")) {
    std::error_code gone;
    const auto target = std::filesystem::read_symlink(entry.path(), gone);
    if (target.string().starts_with("socket:")) ++sockets;
  }
  return sockets;
}

std::unique_ptr<HttpServer> Serve(WorkerPool& pool, HttpHandler handler) {
  auto server = HttpServer::Create(pool, {}, std::move(handler));
  if (!server) throw std::runtime_error(server.error().ToString());
  return std::move(server).value();
}

}  // namespace

NodeUnderTest::NodeUnderTest(const Prepare& prepare)
    : m_pool(1),
      m_store(m_pool),
      m_endpoint(Serve(m_pool, ServeEndpoint)),
      m_front_port(FreePorts()),
      m_ready_port(FreePorts()),
      m_peer_port(FreePorts()),
      m_metrics_port(static_cast<std::uint16_t>(m_peer_port + 1)) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "yuccamoor-XXXXXX").string();
  if (!::mkdtemp(folder.data())) throw std::runtime_error("no folder");
  m_folder = folder;
  m_pool.Start();
  WriteConfig(1, "/served/");
  WriteEndpoint();
  m_store.SetHeartbeat(kEndpointKey);
  if (prepare) prepare(m_store);
  WriteSettings();
  m_process = std::make_unique<ChildProcess>(
      std::string(YUCCAMOOR_BIN_FOLDER) + "/yuccamoor-node",
      std::vector<std::string>{"--settings", m_folder / "settings"},
      m_folder / "log");
  if (!IsServed(m_ready_port, RequestText(kReadyPath)) ||
      !IsServed(m_front_port, RequestText(kOrdinaryPath))) {
    throw std::runtime_error("the node does not become ready");
  }
  Sample();
}

NodeUnderTest::~NodeUnderTest() {
  m_process.reset();
  m_pool.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void NodeUnderTest::WriteSettings() const {
  std::ofstream file(m_folder / "settings");
  const std::string ip = "127.0.0.1:";
  file << kBounds << "listen.front=" << ip << m_front_port
       << "\nlisten.ready=" << ip << m_ready_port
       << "\nport-range=" << m_peer_port << ',' << m_metrics_port
       << "\nplatform.addr=" << ip << m_store.port()
       << "\nlimits.memory-mb=" << kMemoryMegabytes
       << "\nlimits.max-fds=" << kMaxDescriptors << '\n';
}

void NodeUnderTest::WriteConfig(std::uint64_t version,
                                const std::string& prefix) {
  const Json route{
      {"name", "r1"},   {"host", kHost},         {"prefix", prefix},
      {"kind", "safe"}, {"timeout-ms", 600'000}, {"slo-ms", 800},
      {"priority", 0},  {"service", "s1"},       {"max-attempts", 2}};
  Json config;
  config["version"] = version;
  config["routes"] = Json::array({route});
  config["services"] = Json::array(
      {Json{{"name", "s1"}, {"health-path", "/health"}, {"max-conns", 110}}});
  // No crowd of these tests is ended by a time limit.
  config["limits"] = Json{{"max-header-bytes", kMaxHeaderBytes},
                          {"max-body-bytes", kMaxBodyBytes},
                          {"header-timeout-ms", 600'000},
                          {"idle-timeout-ms", 600'000}};
  m_store.Put("op/config", config.dump());
}

void NodeUnderTest::WriteEndpoint() {
  const Json entry{{"service", "s1"},
                   {"addr", "127.0.0.1:" + std::to_string(m_endpoint->port())},
                   {"zone", "z1"},
                   {"version", "v1"},
                   {"slots", 1'000},
                   {"state", "ready"},
                   {"cold-left-ms", 0},
                   {"seq", 0}};
  m_store.Put(kEndpointKey, entry.dump());
}

Awaitable<void> NodeUnderTest::ServeEndpoint(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == kHeldPath) co_await SleepFor(kForever);
  HttpResponse response;
  response.headers.Add("Attempt-Id",
                       std::string(request.headers.Find("Attempt-Id")));
  response.headers.Add("Response-Stamp", "e1");
  response.body =
      request.target == kLongPath ? std::string(kLongAnswer, 'x') : "served";
  co_await exchange.Send(std::move(response));
}

std::size_t NodeUnderTest::UnreadBytes() const {
  std::ifstream file("/proc/net/tcp");
  std::size_t bytes = 0;
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr int kHex = 16;
    const auto port =
        std::strtoul(local.substr(local.find(':') + 1).c_str(), nullptr, kHex);
    const bool is_listener = state == "0A";
    const bool is_ours =
        port == m_front_port || port == m_ready_port || port == m_metrics_port;
    if (is_listener || !is_ours) continue;
    bytes += std::strtoull(queues.substr(queues.find(':') + 1).c_str(), nullptr,
                           kHex);
  }
  return bytes;
}

void NodeUnderTest::Sample() {
  const std::string folder = "/proc/" + std::to_string(m_process->pid());
  const std::size_t now = StatusBytes(folder, "VmRSS") + UnreadBytes();
  m_peak_memory = std::max({m_peak_memory, now, StatusBytes(folder, "VmHWM")});
  m_peak_sockets = std::max(m_peak_sockets, CountSockets(folder));
}

int Ask(std::uint16_t port, const std::string& request) {
  // Only a process that hangs answers later.
  constexpr timeval kLongest{3, 0};
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kLongest, sizeof(kLongest));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &kLongest, sizeof(kLongest));
  const sockaddr_in address = Loopback(port);
  std::string answer;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
    std::size_t sent = 0;
    while (sent < request.size()) {
      const ssize_t n = ::send(fd, request.data() + sent, request.size() - sent,
                               MSG_NOSIGNAL);
      if (n <= 0) break;
      sent += static_cast<std::size_t>(n);
    }
    char buffer[4'096];
    for (;;) {
      const ssize_t n = ::recv(fd, buffer, sizeof(buffer), 0);
      if (n <= 0) break;
      answer.append(buffer, static_cast<std::size_t>(n));
      if (answer.find("\r\n\r\n") != std::string::npos) break;
    }
  }
  ::close(fd);
  const std::string start = "HTTP/1.1 ";
  if (!answer.starts_with(start)) return 0;
  return static_cast<int>(
      Number(std::string_view(answer).substr(start.size())));
}

bool IsServed(std::uint16_t port, const std::string& request) {
  constexpr int kOk = 200;
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    if (Ask(port, request) == kOk) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::string RequestText(const std::string& path, const std::string& body) {
  const std::string head = std::string(" HTTP/1.1\r\nHost: ") + kHost +
                           "\r\nAttempt-Id: 00112233445566\r\n";
  if (body.empty()) return "GET " + path + head + "\r\n";
  return "POST " + path + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace yuccamoor
