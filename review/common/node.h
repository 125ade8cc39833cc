/// \file
/// \brief The daemon under test as a process, and the record of a case.

#ifndef YUCCAMOOR_REVIEW_COMMON_NODE_H_
#define YUCCAMOOR_REVIEW_COMMON_NODE_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "store.h"

namespace review {

/// Writes the lines of record.txt, each with its time.
class CaseRecord {
 public:
  explicit CaseRecord(const std::string& path);

  void Line(const std::string& text);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// One yuccamoor-node, started by the command of the deploy file.
class NodeProcess {
 public:
  /// \p folder is a temporary one, for settings and logs.
  NodeProcess(Store& store, std::string name, const std::string& zone,
              const std::string& folder);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  const std::string& name() const { return m_name; }
  std::uint16_t front_port() const { return m_front_port; }
  std::uint16_t ready_port() const { return m_ready_port; }

  void Start(bool bootstrap);
  void Signal(int signal) const;
  /// Waits for the process to end, for so long at most; false if it still runs.
  bool WaitForEnd(std::int64_t timeout_ms);
  bool running();
  /// Asks GET /ready as the platform does; false without a 200 within a second.
  bool IsReady() const;

 private:
  void WriteSettings(bool bootstrap) const;

  std::string m_name;
  std::string m_zone;
  std::string m_settings;
  std::string m_log;
  std::uint16_t m_store_port = 0;
  std::uint16_t m_front_port = 0;
  std::uint16_t m_ready_port = 0;
  std::uint16_t m_peer_port = 0;
  pid_t m_pid = -1;
};

/// Whether the case shall bring its disruption.
bool HasTrouble();

/// A number that differs from call to call, as 16 hexadecimal digits.
std::string NextId();

/// A whole answer to one request, or how it ended.
struct ClientAnswer {
  /// 0: the connection ended, or nothing came in time.
  int status = 0;
  Message message;
};

/// Sends one request on a new connection and reads the answer.
ClientAnswer Ask(std::uint16_t port, const std::string& request,
                 std::int64_t timeout_ms);

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_COMMON_NODE_H_
