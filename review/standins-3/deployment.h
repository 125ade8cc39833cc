/// \file
/// \brief A small deployment: the store, servers of plain services, and nodes.

#ifndef REVIEW_STANDINS_3_DEPLOYMENT_H_
#define REVIEW_STANDINS_3_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "app_server.h"
#include "engine_server.h"
#include "node.h"
#include "record.h"
#include "store.h"
#include "trial.h"

namespace review {

/// Everything that a trial starts. Ends it all when it goes.
class Deployment {
 public:
  explicit Deployment(const std::string& record_path);

  Record& record() { return m_record; }
  Store& store() { return m_store; }
  AppServer& server(std::size_t index) const { return *m_servers.at(index); }
  std::size_t servers() const { return m_servers.size(); }
  Node& node(std::size_t index = 0) { return *m_nodes.at(index); }
  /// Where that node reaches the store.
  const std::string& door(std::size_t node) const { return m_doors.at(node); }
  static std::string NodeName(std::size_t index) {
    return "front-a-" + std::to_string(index + 1);
  }

  /// Starts a server and writes its entry.
  AppServer& AddServer(const std::string& service,
                       const AppServer::Odd& odd = nullptr);
  /// Ends the server's process and starts a new one at its address, which is
  /// sound. Its entry is left to the caller.
  AppServer& RestartServer(std::size_t index, std::int64_t down_ms);
  /// Starts a model server and writes its entry.
  EngineServer& AddEngine(const std::string& service, const std::string& model);
  EngineServer& engine(std::size_t index) const { return *m_engines.at(index); }
  /// The entry of that server, as it was written first.
  ServerEntry EntryOf(std::size_t index) const { return m_entries.at(index); }
  void WriteEntry(const ServerEntry& entry);
  ServerEntry EngineEntryOf(std::size_t index) const {
    return m_engine_entries.at(index);
  }

  /// Starts a node and waits until it says that it is ready.
  bool AddNode();
  /// Starts a node that is added to a running deployment.
  void AddLateNode();

  /// Sends the request to a node and records it with its answer.
  ClientAnswer AskRecorded(const ClientRequest& request, std::size_t node = 0);

 private:
  void StartNode(bool first_start);

  ScratchFolder m_folder;
  Record m_record;
  Store m_store;
  std::vector<std::unique_ptr<AppServer>> m_servers;
  std::vector<ServerEntry> m_entries;
  std::vector<ServerEntry> m_engine_entries;
  std::vector<std::unique_ptr<EngineServer>> m_engines;
  std::vector<std::unique_ptr<Node>> m_nodes;
  // The store's address of each node.
  std::vector<std::string> m_doors;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_DEPLOYMENT_H_
