/// \file
/// \brief A small stand-in for the platform's store, with entries that other
/// programs wrote.

#ifndef YUCCAMOOR_UNITTESTS_SUPPORT_PLATFORM_STORE_H_
#define YUCCAMOOR_UNITTESTS_SUPPORT_PLATFORM_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

/// Lists entries in pages, answers watches and takes writes. Answers 400 to a
/// target that is none, and reads queries as forms are read. Thread-safe.
class PlatformStore {
 public:
  /// Serves on loopback, on the pool's threads.
  explicit PlatformStore(WorkerPool& pool);

  std::uint16_t port() const { return m_server->port(); }

  /// Writes an entry.
  void Put(const std::string& key, const std::string& value);
  /// Writes an entry that is sent as this JSON text, in the place of \p key.
  void PutItem(const std::string& key, const std::string& item);

  /// Lists this many entries a page.
  void SetPageSize(std::size_t items);
  /// Lists the same page again and again from now on.
  void RepeatPages();
  /// Answers reads of the list with this status from now on.
  void RefuseReads(int status);
  /// Writes the entry, if one is named, again for each watch.
  void SetHeartbeat(std::optional<std::string> key);

  /// Pages that were asked for.
  std::size_t pages_read() const;

 private:
  struct Item {
    std::string text;
    std::string value;
    std::uint64_t revision = 0;
  };

  Awaitable<void> Serve(HttpExchange& exchange);
  HttpResponse Answer(const HttpRequest& request);
  std::string Page(const std::string& after);
  std::string EventsAfter(std::uint64_t revision);
  std::uint64_t Transact(const std::string& body);
  // The caller holds the mutex.
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);

  mutable std::mutex m_mutex;
  std::map<std::string, Item> m_items;
  std::uint64_t m_revision = 1;
  std::size_t m_page_size = SIZE_MAX;
  bool m_repeats_pages = false;
  int m_read_status = 200;
  std::size_t m_pages_read = 0;
  std::optional<std::string> m_heartbeat_key;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_SUPPORT_PLATFORM_STORE_H_
