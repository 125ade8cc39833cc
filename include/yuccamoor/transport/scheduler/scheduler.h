/// \file
/// \brief The scheduler: a candidate for the leadership of cells.

#ifndef YUCCAMOOR_TRANSPORT_SCHEDULER_SCHEDULER_H_
#define YUCCAMOOR_TRANSPORT_SCHEDULER_SCHEDULER_H_

#include <map>
#include <memory>
#include <shared_mutex>

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/daemon/daemon.h"
#include "yuccamoor/transport/scheduler/cell_host.h"

namespace yuccamoor {

class EngineClient;

/// One scheduler process.
class Scheduler {
 public:
  static Result<std::unique_ptr<Scheduler>> Create(SchedulerSettings settings);
  ~Scheduler();

  void Start();
  /// Hands over every leadership and stops. Returns whether all of them were
  /// handed over within the grace.
  bool Shutdown();

  Daemon& daemon() { return *m_daemon; }

 private:
  Scheduler(SchedulerSettings settings, std::unique_ptr<Daemon> daemon);

  void AddPeerMethods();
  void AddOperatorPaths();
  void Tick();
  void OpenHosts();
  void RefreshMembers();
  bool Wants(const CellConfig& cell) const;
  std::shared_ptr<CellHost> Host(const CellId& cell) const;
  std::vector<std::shared_ptr<CellHost>> Hosts() const;

  SchedulerSettings m_settings;
  std::unique_ptr<Daemon> m_daemon;
  std::unique_ptr<EngineClient> m_engines;

  /// Guards the hosts; taken before a host's own mutex.
  mutable std::shared_mutex m_hosts_mutex;
  std::map<CellId, std::shared_ptr<CellHost>> m_hosts;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_SCHEDULER_SCHEDULER_H_
