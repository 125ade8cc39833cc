/// \file
/// \brief Publications by processes of their own, and what daemons say of the
/// revision that they use.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_PUBLICATION_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_PUBLICATION_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/child_process.h"
#include "process/cluster.h"

namespace yuccamoor {

/// One run of yuccamoor-publish. It gives the owner two adapters, "left-" and
/// "right-" with the generation's name, in place of all earlier ones.
class Publication {
 public:
  Publication(const Cluster& cluster, const std::string& owner,
              const std::string& generation);

  ChildProcess& process() { return m_process; }
  const std::string& generation() const { return m_generation; }
  /// Waits for the end; whether the exit code says that it is in force.
  bool Accepted();
  /// The revision that the report names. After Accepted.
  std::uint64_t Revision() const;
  /// The status in the report, or an empty text if there is none.
  std::string Status() const;

 private:
  std::string m_generation;
  std::string m_report;
  ChildProcess m_process;
};

/// Polls what each daemon reports, and notes whenever one goes back: within one
/// life, or while ready also behind what it had in an earlier life.
class RevisionWatch {
 public:
  /// The cluster must outlive the watch.
  RevisionWatch(const Cluster& cluster,
                const std::vector<std::string>& daemons);
  ~RevisionWatch();
  RevisionWatch(const RevisionWatch&) = delete;
  RevisionWatch& operator=(const RevisionWatch&) = delete;

  /// To be called between the end of a daemon and its next start.
  void OnEnd(const std::string& name);

  /// Whether the last report of every daemon was ready with this revision or a
  /// higher one.
  bool AllReadyWith(std::uint64_t revision) const;
  /// What was noted, one line each.
  std::string violations() const;
  std::uint64_t reports() const;

 private:
  struct Daemon {
    std::string operator_address;
    std::uint64_t life = 0;
    /// In this life.
    std::uint64_t revision = 0;
    /// In any life.
    std::uint64_t highest = 0;
    int ready_reports = 0;
  };

  void Run();
  std::uint64_t LifeOf(const std::string& name) const;
  void OnReport(const std::string& name, std::uint64_t life,
                const Json& report);

  HttpCaller m_http;
  mutable std::mutex m_mutex;
  std::map<std::string, Daemon> m_daemons;
  std::string m_violations;
  std::uint64_t m_reports = 0;
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_PUBLICATION_H_
