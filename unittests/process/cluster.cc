/// \file
/// \brief Implementation of the cluster of processes.

#include "process/cluster.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace yuccamoor {
namespace {

constexpr const char* kLoopback = "127.0.0.1:";
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr int kEndpoints = 2;
/// Far above what any wait takes, so that only a failure reaches it.
constexpr auto kLongestWait = std::chrono::seconds(60);

std::string ProgramPath(const std::string& name) {
  return std::string(YUCCAMOOR_BIN_FOLDER) + "/" + name;
}

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "yuccamoor-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder");
  }
  return path;
}

Json ParseOrNull(const std::string& text) {
  return Json::parse(text, nullptr, false);
}

}  // namespace

Cluster::Cluster(const ClusterShape& shape)
    : m_shape(shape), m_folder(MakeFolder()) {
  AddStandIn("kv", "kv", {});
  AddStandIn("vms", "vms", {});
  ListVms("");
  AddStandIn("store", "store", {"--loads-per-second", "0"});
  for (int i = 0; i < kEndpoints; ++i) {
    AddStandIn("service" + std::to_string(i), "service",
               {"--endpoint", "booking-" + std::to_string(i)});
  }
  for (int i = 0; i < shape.engines; ++i) {
    AddStandIn("engine" + std::to_string(i), "engine",
               {"--worker", "w" + std::to_string(i), "--slots",
                std::to_string(shape.slots), "--store", Address("store"),
                "--token-ms", std::to_string(shape.token_ms), "--check-epoch",
                shape.engines_check_epoch ? "1" : "0"});
  }
  Publish();
  for (int i = 0; i < shape.schedulers; ++i) {
    AddDaemon("scheduler" + std::to_string(i), "scheduler", i);
  }
  for (int i = 0; i < shape.gateways; ++i) {
    AddDaemon("gateway" + std::to_string(i), "gateway", i);
  }
  for (int i = 0; i < shape.gateways; ++i) {
    const std::string name = "gateway" + std::to_string(i);
    Await(name + " is ready", [&] { return IsReady(name); });
  }
}

Cluster::~Cluster() {
  for (auto& [name, child] : m_children) child->Kill();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string Cluster::WriteFile(const std::string& name,
                               const std::string& text) {
  std::string path = m_folder + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Cluster::AddStandIn(const std::string& name, const std::string& kind,
                         std::vector<std::string> arguments) {
  Command command;
  command.program = ProgramPath("yuccamoor-standin-" + kind);
  command.port_file = m_folder + "/" + name + ".port";
  command.arguments = std::move(arguments);
  command.arguments.insert(command.arguments.end(),
                           {"--port-file", command.port_file});
  m_commands[name] = std::move(command);
  Start(name);
  ReadPorts(name);
  // The port stays the same from the second start on.
  const std::string& address = m_addresses.at(name);
  auto& again = m_commands[name].arguments;
  again.insert(again.end(), {"--port", address.substr(address.find(':') + 1)});
}

void Cluster::AddDaemon(const std::string& name, const std::string& role,
                        int index) {
  const std::string suffix = std::to_string(index);
  Json settings{{"node", name},
                {"vm", "vm-" + name},
                {"failure_domain", "domain-" + suffix},
                {"key_value_service", Address("kv")},
                {"vm_list", Address("vms")},
                {"unready_time_ms", 500},
                {"shutdown_grace_ms", 30'000}};
  if (role == "gateway" && m_shape.max_requests > 0) {
    settings["max_requests"] = m_shape.max_requests;
  }
  Command command;
  command.program = ProgramPath("yuccamoor-" + role);
  command.port_file = m_folder + "/" + name + ".ports";
  const auto arguments = [&] {
    return std::vector<std::string>{"--settings",
                                    WriteFile(name + ".json", settings.dump()),
                                    "--port-file", command.port_file};
  };
  command.arguments = arguments();
  m_commands[name] = command;
  Start(name);
  ReadPorts(name);
  settings["peer_listen"] = Address(name + "/peer");
  settings["operator_listen"] = Address(name + "/operator");
  if (role == "gateway") settings["listen"] = Address(name);
  m_commands[name].arguments = arguments();
}

void Cluster::ReadPorts(const std::string& name) {
  const std::string path = m_commands.at(name).port_file;
  Await(name + " has written its ports",
        [&] { return std::filesystem::exists(path); });
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t equals = line.find('=');
    // A stand-in writes its only port alone.
    if (equals == std::string::npos) {
      m_addresses[name] = kLoopback + line;
      continue;
    }
    const std::string listener = line.substr(0, equals);
    std::string key = name;
    if (listener != "callers") key.append("/").append(listener);
    m_addresses[key] = kLoopback + line.substr(equals + 1);
  }
}

void Cluster::Publish() {
  Json workers = Json::object();
  for (int i = 0; i < m_shape.engines; ++i) {
    const std::string suffix = std::to_string(i);
    workers["w" + suffix] = {{"address", Address("engine" + suffix)},
                             {"failure_domain", "domain-" + suffix}};
  }
  Json adapters = Json::object();
  for (int i = 0; i < m_shape.adapters; ++i) {
    adapters["a" + std::to_string(i)] = {{"cell", "cell"},
                                         {"versions", {"v1"}}};
  }
  Json config{{"owner", "tests"},
              {"adapters", std::move(adapters)},
              {"aliases", {{"first", {{"a0@v1", 1}}}}}};
  config["cells"]["cell"] = {
      {"model", "model"},
      {"region", "region"},
      {"workers", std::move(workers)},
      {"weight_store", {{"loads_per_second", 20}}},
      {"engines_check_epoch", m_shape.engines_check_epoch}};
  Json endpoints = Json::object();
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string suffix = std::to_string(i);
    endpoints["booking-" + suffix] = {{"address", Address("service" + suffix)},
                                      {"failure_domain", "domain-" + suffix},
                                      {"vm", "vm-service" + suffix}};
  }
  config["services"]["booking"] = {
      {"endpoints", std::move(endpoints)},
      {"non_idempotent",
       Json::array({{{"method", "POST"}, {"path_prefix", "/charges"}}})}};
  const std::string file = WriteFile("config.json", config.dump(1));
  ChildProcess publish(ProgramPath("yuccamoor-publish"),
                       {"--kv", Address("kv"), file},
                       m_folder + "/publish.log");
  if (publish.Wait() != 0) {
    std::ifstream log(m_folder + "/publish.log");
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    throw std::runtime_error("publishing failed: " + text);
  }
}

void Cluster::Start(const std::string& name) {
  const Command& command = m_commands.at(name);
  m_children[name] = std::make_unique<ChildProcess>(
      command.program, command.arguments, m_folder + "/" + name + ".log");
}

void Cluster::Restart(const std::string& name) {
  m_children.at(name)->Kill();
  Start(name);
}

std::string Cluster::Address(const std::string& name) const {
  return m_addresses.at(name);
}

std::vector<std::string> Cluster::DaemonNames() const {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(m_shape.gateways) +
                static_cast<std::size_t>(m_shape.schedulers));
  for (int i = 0; i < m_shape.gateways; ++i) {
    names.push_back("gateway" + std::to_string(i));
  }
  for (int i = 0; i < m_shape.schedulers; ++i) {
    names.push_back("scheduler" + std::to_string(i));
  }
  return names;
}

bool Cluster::IsReady(const std::string& name) {
  return m_http.Get(Address(name + "/operator"), "/readyz") ==
         R"({"ready":true})";
}

HttpReply Cluster::Chat(int gateway, const std::string& model,
                        const std::string& text) {
  const Json body{
      {"model", model},
      {"max_tokens", 8},
      {"messages", Json::array({{{"role", "user"}, {"content", text}}})}};
  return m_http.Post(Address("gateway" + std::to_string(gateway)),
                     "/v1/chat/completions", body.dump());
}

HttpReply Cluster::Charge(int gateway, const std::string& key,
                          const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/services/booking/charges";
  request.headers.Add("Idempotency-Key", key);
  request.body = body;
  return m_http.Call(Address("gateway" + std::to_string(gateway)),
                     std::move(request));
}

int Cluster::RunsOf(const std::string& key) {
  int runs = 0;
  for (int i = 0; i < kEndpoints; ++i) {
    const Json ledger = Ledger(i);
    for (const Json& entry : ledger.at("entries")) {
      if (entry.at("key") == key) ++runs;
    }
  }
  return runs;
}

Json Cluster::Ledger(int endpoint) {
  const std::string address = Address("service" + std::to_string(endpoint));
  return Json::parse(m_http.Get(address, "/ledger"));
}

void Cluster::ListVms(const std::string& leaving) {
  std::vector<std::string> names = DaemonNames();
  for (int i = 0; i < kEndpoints; ++i) {
    names.push_back("service" + std::to_string(i));
  }
  Json vms = Json::array();
  for (const std::string& name : names) {
    const std::string id = "vm-" + name;
    vms.push_back({{"id", id},
                   {"failure_domain", "domain-" + id.substr(id.size() - 1)},
                   {"leaving", id == leaving}});
  }
  m_http.Post(Address("vms"), "/vms", Json{{"vms", std::move(vms)}}.dump());
}

void Cluster::SetFaults(const std::string& name, const Json& faults) {
  const HttpReply reply = m_http.Post(Address(name), "/faults", faults.dump());
  if (reply.response.status != 200) {
    throw std::runtime_error(name + " took no faults");
  }
}

std::string Cluster::LeaderName() {
  for (int i = 0; i < m_shape.schedulers; ++i) {
    std::string name = "scheduler" + std::to_string(i);
    const Json status =
        ParseOrNull(m_http.Get(Address(name + "/operator"), "/admin/status"));
    if (!status.is_object()) continue;
    for (const Json& cell : status.at("cells")) {
      if (cell.at("may_order").get<bool>()) return name;
    }
  }
  return "";
}

std::uint64_t Cluster::EngineCounter(const std::string& name) {
  std::uint64_t sum = 0;
  for (int i = 0; i < m_shape.engines; ++i) {
    const Json counters = ParseOrNull(
        m_http.Get(Address("engine" + std::to_string(i)), "/counters"));
    // An engine that is down counts nothing; a name that is no counter throws.
    if (counters.is_object()) sum += GetUnsigned(counters.at(name));
  }
  return sum;
}

void Cluster::Await(const std::string& what,
                    const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kLongestWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("not reached: " + what + "; logs in " +
                               m_folder);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace yuccamoor
