/// \file
/// \brief One node process with a small store and endpoint of its own, and what
/// it takes up.

#ifndef YUCCAMOOR_UNITTESTS_CLIENTS_NODE_UNDER_TEST_H_
#define YUCCAMOOR_UNITTESTS_CLIENTS_NODE_UNDER_TEST_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "process/child_process.h"
#include "support/platform_store.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

inline constexpr char kHost[] = "clients.example";
/// The endpoint answers at once, never, or with a body of kLongAnswer bytes.
inline constexpr char kOrdinaryPath[] = "/served/at-once";
inline constexpr char kHeldPath[] = "/served/never";
inline constexpr char kLongPath[] = "/served/long";
inline constexpr char kUnroutedPath[] = "/nowhere";
inline constexpr char kReadyPath[] = "/ready";

inline constexpr std::size_t kMaxHeaderBytes = 16'384;
inline constexpr std::size_t kMaxBodyBytes = 1'048'576;
inline constexpr std::size_t kLongAnswer = 524'288;
/// What the settings allow the process.
inline constexpr std::size_t kMemoryMegabytes = 40;
inline constexpr std::size_t kMaxDescriptors = 420;
/// The descriptors of these that are no sockets.
inline constexpr std::size_t kFileDescriptors = 200;

/// A ready node.
class NodeUnderTest {
 public:
  /// Changes the store before the node starts.
  using Prepare = std::function<void(PlatformStore&)>;

  /// Throws if the node does not become ready.
  explicit NodeUnderTest(const Prepare& prepare = {});
  ~NodeUnderTest();
  NodeUnderTest(const NodeUnderTest&) = delete;
  NodeUnderTest& operator=(const NodeUnderTest&) = delete;

  std::uint16_t front_port() const { return m_front_port; }
  std::uint16_t ready_port() const { return m_ready_port; }
  std::uint16_t metrics_port() const { return m_metrics_port; }
  PlatformStore& store() { return m_store; }
  /// Writes a configuration with one route, which has the prefix.
  void WriteConfig(std::uint64_t version, const std::string& prefix);

  bool Running() { return m_process->Running(); }
  /// Notes what the process takes up now.
  void Sample();
  /// The most memory that was seen, in bytes: the process's own, and what its
  /// sockets have received and it has not read.
  std::size_t peak_memory() const { return m_peak_memory; }
  std::size_t peak_sockets() const { return m_peak_sockets; }

 private:
  static Awaitable<void> ServeEndpoint(HttpExchange& exchange);
  void WriteEndpoint();
  void WriteSettings() const;
  std::size_t UnreadBytes() const;

  WorkerPool m_pool;
  PlatformStore m_store;
  std::unique_ptr<HttpServer> m_endpoint;
  std::filesystem::path m_folder;
  std::uint16_t m_front_port;
  std::uint16_t m_ready_port;
  std::uint16_t m_peer_port;
  std::uint16_t m_metrics_port;
  std::unique_ptr<ChildProcess> m_process;
  std::size_t m_peak_memory = 0;
  std::size_t m_peak_sockets = 0;
};

/// Asks once on a new connection. Returns the status of the response, or zero
/// if there was none.
int Ask(std::uint16_t port, const std::string& request);
/// The same until there is a 200, for some tries.
bool IsServed(std::uint16_t port, const std::string& request);

/// Returns a GET of the path, or with \p body a POST.
std::string RequestText(const std::string& path, const std::string& body = "");

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_CLIENTS_NODE_UNDER_TEST_H_
