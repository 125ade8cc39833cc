#include "deployment.h"

namespace review {

namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr std::int64_t kReadyMs = 20'000;
// Any time: servers differ in it.
constexpr std::uint64_t kFirstBorn = 1'790'000'000'000;

}  // namespace

Deployment::Deployment(const std::string& record_path)
    : m_record(record_path), m_store(kIp) {}

AppServer& Deployment::AddServer(const std::string& service,
                                 const AppServer::Odd& odd) {
  const std::size_t number = m_servers.size() + 1;
  ServerEntry entry;
  entry.id = "i-" + service + "-" + std::to_string(number);
  m_servers.push_back(
      std::make_unique<AppServer>(entry.id, kIp, 0, m_record, odd));
  entry.service = service;
  entry.address = m_servers.back()->address();
  entry.born = kFirstBorn + number;
  m_entries.push_back(entry);
  WriteEntry(entry);
  return *m_servers.back();
}

AppServer& Deployment::RestartServer(std::size_t index, std::int64_t down_ms) {
  std::unique_ptr<AppServer>& server = m_servers.at(index);
  const std::string id = server->id();
  const std::uint16_t port = server->port();
  m_record.Line("server " + id + ": its process ends");
  server->Stop();
  SleepMs(down_ms);
  server = std::make_unique<AppServer>(id, kIp, port, m_record);
  m_record.Line("server " + id + ": starts again");
  return *server;
}

EngineServer& Deployment::AddEngine(const std::string& service,
                                    const std::string& model) {
  const std::size_t number = m_engines.size() + 1;
  EngineOptions options;
  options.id = "i-" + service + "-" + std::to_string(number);
  options.ip = kIp;
  options.model = model;
  options.born = kFirstBorn + number;
  m_engines.push_back(std::make_unique<EngineServer>(options, m_record));
  ServerEntry entry;
  entry.id = options.id;
  entry.service = service;
  entry.address = m_engines.back()->address();
  entry.slots = 64;
  entry.born = options.born;
  entry.model = model;
  m_engine_entries.push_back(entry);
  WriteEntry(entry);
  return *m_engines.back();
}

void Deployment::WriteEntry(const ServerEntry& entry) {
  const std::uint64_t revision =
      m_store.Put("servers/" + entry.id, EntryText(entry));
  m_record.Line("store: entry of " + entry.id + ", " + entry.state + ", born " +
                std::to_string(entry.born) + ", revision " +
                std::to_string(revision));
}

void Deployment::StartNode(bool first_start) {
  NodeOptions options;
  options.name = NodeName(m_nodes.size());
  options.ip = "127.0.0." + std::to_string(m_nodes.size() + 11);
  options.store_address = m_store.AddDoor();
  options.folder = m_folder.path();
  options.first_start = first_start;
  m_doors.push_back(options.store_address);
  m_nodes.push_back(std::make_unique<Node>(options));
  m_nodes.back()->Start();
  m_record.Line("node " + options.name + " starts");
}

bool Deployment::AddNode() {
  StartNode(true);
  return m_nodes.back()->WaitUntilReady(kReadyMs);
}

void Deployment::AddLateNode() { StartNode(false); }

ClientAnswer Deployment::AskRecorded(const ClientRequest& request,
                                     std::size_t node) {
  m_record.Line("client: " + request.attempt + " sends " + request.method +
                " " + request.path);
  ClientAnswer answer = Ask(*m_nodes.at(node), request);
  const std::string encoding = answer.message.Find("Content-Encoding");
  m_record.Line("client: " + request.attempt + " gets " + answer.what +
                ", Response-Stamp " +
                (answer.message.Has("Response-Stamp")
                     ? answer.message.Find("Response-Stamp")
                     : "none") +
                (encoding.empty() ? "" : ", Content-Encoding " + encoding));
  return answer;
}

}  // namespace review
