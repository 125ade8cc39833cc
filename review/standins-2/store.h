/// \file
/// \brief A stand-in for the platform's metadata store.

#ifndef YUCCAMOOR_REVIEW_STANDINS_2_STORE_H_
#define YUCCAMOOR_REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

using Json = nlohmann::json;

inline std::string EncodeBase64(std::string_view text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kDigits[bits >> count & 63];
    }
  }
  if (count > 0) out += kDigits[bits << (6 - count) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

/// Keeps items, their history and leases. All calls are executed in order.
class Store {
 public:
  explicit Store(const std::string& ip)
      : m_timer([this] { ExpireLeases(); }),
        m_ip(ip),
        m_server(ip, 0, [this](const Message& request, Connection& peer) {
          return Serve(request, peer);
        }) {}
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store() {
    {
      const std::lock_guard lock(m_mutex);
      m_ends = true;
      m_is_silent = false;
    }
    m_changed.notify_all();
    m_timer.join();
    m_server.Stop();
  }

  const Address& address() const { return m_server.address(); }

  /// What the operator and the servers write; false while the store is away.
  bool Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    if (m_is_silent) return false;
    Write(key, EncodeBase64(value), 0);
    return true;
  }

  bool Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (m_is_silent) return false;
    Erase(key);
    return true;
  }

  /// While silent, the store answers no call and does nothing. Its leases run
  /// out meanwhile.
  void SetSilent(bool is_silent) {
    {
      const std::lock_guard lock(m_mutex);
      m_is_silent = is_silent;
    }
    m_changed.notify_all();
  }

  /// Another address of the store, for one node.
  class Door {
   public:
    explicit Door(Store& store)
        : m_store(store),
          m_server(store.m_ip, 0,
                   [this](const Message& request, Connection& peer) {
                     return Serve(request, peer);
                   }) {}
    Door(const Door&) = delete;
    Door& operator=(const Door&) = delete;

    const Address& address() const { return m_server.address(); }
    /// When the node's lease was renewed last.
    std::int64_t renewed_at() const { return m_renewed_at; }
    /// From now on all calls get 503.
    void Refuse(bool refuses) { m_refuses = refuses; }
    /// Takes the keys of the node's lease away.
    void TakeKeysAway() { m_store.EraseKeysOf(m_lease); }

   private:
    bool Serve(const Message& request, Connection& peer) {
      constexpr std::string_view kKeep = "/kv-keep/";
      if (m_refuses) return peer.Send(Answer(503, "Store-Era: 1\r\n", ""));
      if (request.target.starts_with(kKeep)) {
        m_lease = LastNumber(request.target);
        m_renewed_at = ElapsedMs();
      }
      return m_store.Serve(request, peer);
    }

    Store& m_store;
    std::atomic<bool> m_refuses{false};
    std::atomic<std::uint64_t> m_lease{0};
    std::atomic<std::int64_t> m_renewed_at{0};
    Server m_server;
  };

  /// The value, still encoded, of the first key that ends so.
  std::string ValueOf(const std::string& end) {
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, item] : m_items) {
      if (key.ends_with(end)) return item.value;
    }
    return "";
  }

  /// The values, still encoded, of the keys that hold the text.
  std::vector<std::string> ValuesOf(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> values;
    for (const auto& [key, item] : m_items) {
      if (key.find(text) != std::string::npos) values.push_back(item.value);
    }
    return values;
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    Json json;
    std::string key;
  };

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t question = target.find('?');
    if (question == std::string::npos) return "";
    std::string rest = target.substr(question + 1);
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find('&'), rest.size());
      const std::string pair = rest.substr(0, end);
      rest.erase(0, std::min(end + 1, rest.size()));
      if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    }
    return "";
  }

  static Json ToJson(const std::string& key, const Item& item) {
    return Json{{"key", key},
                {"value", item.value},
                {"rev", item.revision},
                {"created-rev", item.created},
                {"lease", item.lease}};
  }

  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease) {
    Item& item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    if (item.created == 0) item.created = m_revision;
    item.lease = lease;
    m_events.push_back({m_revision, ToJson(key, item), key});
    m_changed.notify_all();
  }

  void Erase(const std::string& key) {
    if (m_items.erase(key) == 0) return;
    ++m_revision;
    m_events.push_back(
        {m_revision, Json{{"key", key}, {"rev", m_revision}, {"removed", true}},
         key});
    m_changed.notify_all();
  }

  void EraseKeysOf(std::uint64_t lease) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (lease != 0 && item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }

  void EndLease(std::uint64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }

  void ExpireLeases() {
    std::unique_lock lock(m_mutex);
    while (!m_ends) {
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : m_leases) {
        if (ElapsedMs() >= lease.ends_at) ended.push_back(id);
      }
      for (const std::uint64_t id : ended) EndLease(id);
      lock.unlock();
      SleepMs(20);
      lock.lock();
    }
  }

  bool Serve(const Message& request, Connection& peer) {
    std::unique_lock lock(m_mutex);
    if (m_is_silent) {
      // A connection on which an answer is lost returns nothing further.
      m_changed.wait(lock, [this] { return !m_is_silent || m_ends; });
      return false;
    }
    int status = 200;
    Json answer;
    const std::string& target = request.target;
    if (target.starts_with("/kv-watch")) {
      if (!Watch(target, lock, answer)) return false;
    } else if (target.starts_with("/kv-range")) {
      answer = Range(target);
    } else if (target == "/kv-txn") {
      status = Transact(request.body, answer);
    } else if (target == "/kv-lease") {
      const std::int64_t ttl = Json::parse(request.body).at("ttl-ms");
      m_leases[++m_last_lease] = {ttl, ElapsedMs() + ttl};
      answer = Json{{"lease", m_last_lease}, {"ttl-ms", ttl}};
    } else if (target.starts_with("/kv-keep/")) {
      const auto it = m_leases.find(LastNumber(target));
      if (it == m_leases.end()) {
        status = 404;
      } else {
        it->second.ends_at = ElapsedMs() + it->second.ttl_ms;
        answer = Json{{"ttl-ms", it->second.ttl_ms}};
      }
    } else if (target.starts_with("/kv-lease-end/")) {
      EndLease(LastNumber(target));
      answer = Json::object();
    } else {
      status = 404;
    }
    lock.unlock();
    return peer.Send(review::Answer(
        status, "Content-Type: application/json\r\nStore-Era: 1\r\n",
        answer.is_null() ? "{}" : answer.dump()));
  }

  static std::uint64_t LastNumber(const std::string& target) {
    return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
  }

  Json Range(const std::string& target) const {
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    constexpr std::size_t kPage = 500;
    Json items = Json::array();
    bool has_more = false;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
        continue;
      }
      if (items.size() == kPage) {
        has_more = true;
        break;
      }
      items.push_back(ToJson(key, item));
    }
    return Json{
        {"items", items}, {"more-pages", has_more}, {"as-of", m_revision}};
  }

  /// False if the watch is cut because the store has gone silent.
  bool Watch(const std::string& target, std::unique_lock<std::mutex>& lock,
             Json& answer) {
    const std::string prefix = Parameter(target, "prefix");
    const std::uint64_t after =
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const std::int64_t until =
        ElapsedMs() + std::atoll(Parameter(target, "wait-ms").c_str());
    for (;;) {
      Json events = Json::array();
      for (auto it = m_events.rbegin();
           it != m_events.rend() && it->revision > after; ++it) {
        if (it->key.starts_with(prefix)) events.push_back(it->json);
      }
      std::reverse(events.begin(), events.end());
      const std::int64_t left = until - ElapsedMs();
      if (!events.empty() || left <= 0) {
        answer = Json{{"events", events}, {"as-of", m_revision}};
        return true;
      }
      m_changed.wait_for(lock, std::chrono::milliseconds(left));
      if (m_is_silent) {
        m_changed.wait(lock, [this] { return !m_is_silent || m_ends; });
        return false;
      }
      if (m_ends) return false;
    }
  }

  int Transact(const std::string& body, Json& answer) {
    const Json json = Json::parse(body);
    Json rows = Json::array();
    bool holds = true;
    for (const Json& row : json.at("expected")) {
      const std::string key = row.at("key");
      const auto it = m_items.find(key);
      const std::uint64_t revision =
          it == m_items.end() ? 0 : it->second.revision;
      holds = holds && revision == row.at("rev").get<std::uint64_t>();
      if (it != m_items.end()) rows.push_back(ToJson(key, it->second));
    }
    if (!holds) {
      answer = Json{{"items", rows}};
      return 412;
    }
    for (const Json& put : json.at("puts")) {
      const std::uint64_t lease = put.value("lease", std::uint64_t{0});
      if (lease != 0 && !m_leases.contains(lease)) return 404;
    }
    for (const Json& put : json.at("puts")) {
      Write(put.at("key"), put.at("value"),
            put.value("lease", std::uint64_t{0}));
    }
    for (const Json& key : json.at("delete")) Erase(key);
    answer = Json{{"rev", m_revision}};
    return 200;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Lease> m_leases;
  std::vector<Event> m_events;
  std::uint64_t m_revision = 100;
  std::uint64_t m_last_lease = 1'000;
  bool m_is_silent = false;
  bool m_ends = false;
  std::thread m_timer;
  std::string m_ip;
  Server m_server;
};

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_STANDINS_2_STORE_H_
