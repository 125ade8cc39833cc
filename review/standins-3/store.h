/// \file
/// \brief A small stand-in for the platform's store.

#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

/// Keeps items with one revision counter, watches, transactions and leases.
/// Thread-safe.
class Store {
 public:
  explicit Store(std::string ip);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Returns a further address of the store, for one machine.
  std::string AddDoor();

  /// Writes as the operator or as a server. Returns the revision.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Closes the connections at that address without an answer from now on; at
  /// none, if it is empty.
  void Reject(const std::string& address);
  /// The value of the item whose key ends so; empty without one.
  std::string FindValue(const std::string& key_end) const;
  /// Keeps a copy of all items.
  void Copy();
  /// Is away for that long, and comes back from the copy: what was written
  /// since is gone, and the era is the next one. Calls that come meanwhile, and
  /// watches that wait, get no answer, nor does their connection later on.
  void Restore(std::int64_t away_ms);
  /// Is away for that long, while leases run out. Calls get no answer, as
  /// above.
  void BeAway(std::int64_t away_ms);
  /// How long ago a lease was renewed at that address.
  std::int64_t RenewedAgoMs(const std::string& address) const;
  /// Closes the connections of the watches that wait now.
  void CutWatches();
  /// How long the oldest waiting watch has waited; zero without one.
  std::int64_t WatchWaitedMs() const;
  /// The number of nodes that are registered now.
  std::size_t CountKeys(const std::string& part) const;

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };
  struct Reply {
    int status = 200;
    Json body = Json::object();
    bool is_cut = false;
  };

  bool IsAway() const;
  bool IsRejected(const std::string& address) const;
  /// Keeps the connection open without an answer until the store ends.
  void StaySilent() const;
  std::uint64_t era() const;
  void Serve(Connection& connection, const std::string& address);
  Reply Answer(const Message& request, const std::string& address);
  Reply AnswerRange(const std::map<std::string, std::string>& query);
  Reply AnswerWatch(const std::map<std::string, std::string>& query);
  Reply AnswerKey(const std::map<std::string, std::string>& query);
  Reply AnswerTransaction(const Json& body);
  Reply AnswerLease(const Json& body);
  void ExpireLeases();

  // The caller holds the mutex.
  std::uint64_t PutLocked(const std::string& key, const std::string& value,
                          std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  bool EndLeaseLocked(std::uint64_t lease);
  static Json ToJson(const std::string& key, const Item& item);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 1;
  std::uint64_t m_last_lease = 100;
  // Watches from an earlier revision are answered 410.
  std::uint64_t m_first_event = 0;
  std::uint64_t m_era = 1;
  bool m_away = false;
  std::string m_rejected;
  // By the address at which the leases were renewed.
  std::map<std::string, std::int64_t> m_renewed;
  std::map<std::string, Item> m_copied_items;
  std::map<std::uint64_t, Lease> m_copied_leases;
  std::uint64_t m_copied_revision = 1;
  std::uint64_t m_cuts = 0;
  // When the watches that wait have begun to.
  std::multiset<std::int64_t> m_waiting_since;
  bool m_stopping = false;
  std::string m_ip;
  std::vector<std::unique_ptr<Server>> m_doors;
  std::thread m_expiry;
};

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_H_
