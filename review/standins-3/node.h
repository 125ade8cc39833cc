/// \file
/// \brief A node as the platform starts it: with the deploy file's command and
/// a settings file.

#ifndef REVIEW_STANDINS_3_NODE_H_
#define REVIEW_STANDINS_3_NODE_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "http.h"

namespace review {

struct NodeOptions {
  std::string name;
  std::string zone = "zone-a";
  /// A loopback address that no other node uses.
  std::string ip;
  std::string store_address;
  /// Where settings and logs are put.
  std::string folder;
  bool first_start = true;
  /// Bounds of the sites' sheets.
  int drain_ms = 2'000;
  int config_apply_ms = 2'000;
  int lease_ttl_ms = 3'000;
  int budget_slack = 58;
};

/// One process of the node. Ends it when it goes.
class Node {
 public:
  /// Begins in the repository's root.
  explicit Node(NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& ip() const { return m_options.ip; }
  std::uint16_t front_port() const { return m_front_port; }

  /// Starts the process, again if it has ended.
  void Start();
  /// Whether the platform's question is answered 200.
  bool IsReady() const;
  bool WaitUntilReady(std::int64_t timeout_ms) const;
  bool IsRunning();
  void Signal(int signal) const;
  /// Ends the process at once.
  void Kill();

 private:
  void WriteSettings() const;
  std::string SettingsPath() const;

  NodeOptions m_options;
  std::uint16_t m_front_port;
  std::uint16_t m_ready_port;
  std::uint16_t m_first_port;
  pid_t m_process = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_NODE_H_
