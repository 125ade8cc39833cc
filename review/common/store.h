/// \file
/// \brief The platform's metadata store, in memory.

#ifndef YUCCAMOOR_REVIEW_COMMON_STORE_H_
#define YUCCAMOOR_REVIEW_COMMON_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

/// How the store meets a daemon.
enum class Door : std::uint8_t {
  kOpen,
  /// Answers 503.
  kBusy,
  /// Reads calls and answers none.
  kSilent,
};

/// Keeps items, leases and a history of changes. Each daemon reaches it at a
/// port of its own, so that it can turn away some of them.
class Store {
 public:
  /// Told of each renewal of a lease that succeeded, by the daemon's name.
  using OnRenewed = std::function<void(const std::string& daemon)>;

  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Opens a port for the daemon and returns it.
  std::uint16_t AddDaemon(const std::string& daemon);
  void SetDoor(const std::string& daemon, Door door);
  void ListenForRenewals(OnRenewed on_renewed);

  /// Writes an item as the operator or a worker does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Removes the keys of the daemon's leases. The leases stay.
  void Revoke(const std::string& daemon);
  /// Returns the value of an item, or an empty text.
  std::string Get(const std::string& key);

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t rev = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::string daemon;
    std::int64_t ttl_ms = 0;
    std::int64_t ends = 0;
  };
  struct Event {
    std::uint64_t rev = 0;
    Json json;
  };
  struct Daemon {
    Door door = Door::kOpen;
    std::unique_ptr<Server> server;
  };

  void Serve(const std::string& daemon, int fd);
  // Returns the response, or an empty text if there is to be none.
  std::string Answer(const std::string& daemon, const Message& request);
  std::string Range(const Message& request);
  std::string Watch(const std::string& daemon, const Message& request);
  std::string Txn(const Message& request);
  std::string Grant(const std::string& daemon, const Message& request);
  std::string Keep(const std::string& daemon, std::uint64_t lease);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(std::uint64_t lease);
  static Json ToJson(const std::string& key, const Item& item);
  void ExpireLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Lease> m_leases;
  std::vector<Event> m_history;
  std::uint64_t m_rev = 10;
  std::uint64_t m_next_lease = 70'000;
  std::map<std::string, Daemon> m_daemons;
  OnRenewed m_on_renewed;
  bool m_stopping = false;
  std::thread m_expiry;
};

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_COMMON_STORE_H_
