/// \file
/// \brief A whole system of separate processes on loopback: stand-ins,
/// schedulers and gateways.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_CLUSTER_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process/child_process.h"
#include "process/http_caller.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

/// What a cluster consists of.
struct ClusterShape {
  int engines = 2;
  int slots = 2;
  int gateways = 2;
  int schedulers = 2;
  int adapters = 6;
  bool engines_check_epoch = false;
  int token_ms = 2;
  /// The chats that a gateway runs at once; zero: its default.
  int max_requests = 0;
};

/// Starts the processes in a folder of its own, publishes a configuration with
/// adapters "a0", "a1", ... of version "v1" and a service "booking", and waits
/// until every gateway is ready. All processes end with the cluster.
class Cluster {
 public:
  explicit Cluster(const ClusterShape& shape);
  ~Cluster();

  HttpCaller& http() { return m_http; }
  ChildProcess& Process(const std::string& name) {
    return *m_children.at(name);
  }
  /// Kills the process and starts it again on the same ports.
  void Restart(const std::string& name);
  void Start(const std::string& name);

  /// The address of "kv", "store", "vms", "service0", "engine0", "gateway0", or
  /// with a listener, "gateway0/operator".
  std::string Address(const std::string& name) const;

  /// The folder of the processes' files, removed with the cluster.
  const std::string& folder() const { return m_folder; }

  /// The gateways' names, then the schedulers'.
  std::vector<std::string> DaemonNames() const;

  /// Whether the daemon says that it is ready.
  bool IsReady(const std::string& name);
  /// Asks a gateway for a chat answer.
  HttpReply Chat(int gateway, const std::string& model,
                 const std::string& text);
  /// Sends a charge with an idempotency key through a gateway.
  HttpReply Charge(int gateway, const std::string& key,
                   const std::string& body);
  /// The runs of the key in the ledgers of both endpoints.
  int RunsOf(const std::string& key);
  /// One endpoint's ledger.
  Json Ledger(int endpoint);
  /// Gives the platform's list of VMs, one of which may be leaving.
  void ListVms(const std::string& leaving);
  /// Sets faults of a stand-in.
  void SetFaults(const std::string& name, const Json& faults);
  /// The name of the scheduler that leads and may order, or an empty string.
  std::string LeaderName();
  /// The sum of a counter over all engines.
  std::uint64_t EngineCounter(const std::string& name);

  /// Waits until the condition holds; throws after a long time, which only a
  /// failure reaches.
  void Await(const std::string& what, const std::function<bool()>& condition);

 private:
  struct Command {
    std::string program;
    std::vector<std::string> arguments;
    /// The files that tell the ports, for the first start.
    std::string port_file;
  };

  void AddStandIn(const std::string& name, const std::string& kind,
                  std::vector<std::string> arguments);
  void AddDaemon(const std::string& name, const std::string& role, int index);
  void ReadPorts(const std::string& name);
  void Publish();
  std::string WriteFile(const std::string& name, const std::string& text);

  ClusterShape m_shape;
  std::string m_folder;
  std::map<std::string, Command> m_commands;
  std::map<std::string, std::string> m_addresses;
  HttpCaller m_http;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_children;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_CLUSTER_H_
