#include "store.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : bytes) {
    group = (group << 8) | static_cast<unsigned char>(c);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text += kDigits[(group >> bits) & 63];
    }
  }
  if (bits > 0) text += kDigits[(group << (6 - bits)) & 63];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

std::string DecodeBase64(const std::string& text) {
  const std::string digits = kDigits;
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const std::size_t digit = digits.find(c);
    if (digit == std::string::npos) break;
    group = (group << 6) | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>((group >> bits) & 255);
  }
  return bytes;
}

std::string JsonAnswer(int status, const nlohmann::json& body) {
  return ResponseText(status,
                      "Content-Type: application/json\r\nStore-Era: 1\r\n",
                      body.dump());
}

// Returns a value of the query, or an empty text.
std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string part = target.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
  }
  return "";
}

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

Store::Store() : m_expiry([this] { ExpireLeases(); }) {}

Store::~Store() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_expiry.join();
  m_daemons.clear();
}

std::uint16_t Store::AddDaemon(const std::string& daemon) {
  auto server =
      std::make_unique<Server>([this, daemon](int fd) { Serve(daemon, fd); });
  const std::uint16_t port = server->port();
  const std::lock_guard lock(m_mutex);
  m_daemons[daemon].server = std::move(server);
  return port;
}

void Store::SetDoor(const std::string& daemon, Door door) {
  const std::lock_guard lock(m_mutex);
  m_daemons[daemon].door = door;
  m_changed.notify_all();
}

void Store::ListenForRenewals(OnRenewed on_renewed) {
  const std::lock_guard lock(m_mutex);
  m_on_renewed = std::move(on_renewed);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  ++m_rev;
  Write(key, value, 0);
  m_changed.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ++m_rev;
  Erase(key);
  m_changed.notify_all();
}

void Store::Revoke(const std::string& daemon) {
  const std::lock_guard lock(m_mutex);
  ++m_rev;
  for (const auto& [id, lease] : m_leases) {
    if (lease.daemon != daemon) continue;
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == id) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }
  m_changed.notify_all();
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_items.find(key);
  return it == m_items.end() ? "" : it->second.value;
}

void Store::Serve(const std::string& daemon, int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, buffer, request) == ReadEnd::kWhole) {
    const std::string answer = Answer(daemon, request);
    if (answer.empty() || !WriteAll(fd, answer)) return;
  }
}

std::string Store::Answer(const std::string& daemon, const Message& request) {
  Door door = Door::kOpen;
  {
    const std::lock_guard lock(m_mutex);
    door = m_daemons[daemon].door;
  }
  if (door == Door::kBusy) return JsonAnswer(503, Json::object());
  if (door == Door::kSilent) {
    SleepMs(20'000);
    return "";
  }
  const std::string& target = request.target;
  if (target.starts_with("/kv-range")) return Range(request);
  if (target.starts_with("/kv-watch")) return Watch(daemon, request);
  if (target == "/kv-txn") return Txn(request);
  if (target == "/kv-lease") return Grant(daemon, request);
  constexpr std::string_view kKeep = "/kv-keep/";
  if (target.starts_with(kKeep)) {
    return Keep(daemon, Number(target.substr(kKeep.size())));
  }
  return JsonAnswer(400, Json::object());
}

std::string Store::Range(const Message& request) {
  const std::lock_guard lock(m_mutex);
  const std::string prefix = Query(request.target, "prefix");
  Json body;
  body["items"] = Json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix)) body["items"].push_back(ToJson(key, item));
  }
  body["more-pages"] = false;
  body["as-of"] = m_rev;
  return JsonAnswer(200, body);
}

std::string Store::Watch(const std::string& daemon, const Message& request) {
  std::unique_lock lock(m_mutex);
  const std::uint64_t after = Number(Query(request.target, "after"));
  const auto wait =
      std::chrono::milliseconds(Number(Query(request.target, "wait-ms")));
  const auto until = std::chrono::steady_clock::now() + wait;
  const auto done = [&] {
    const bool has_news = !m_history.empty() && m_history.back().rev > after;
    return has_news || m_stopping || m_daemons[daemon].door != Door::kOpen;
  };
  m_changed.wait_until(lock, until, done);
  // A watch that is waiting may be cut.
  if (m_stopping || m_daemons[daemon].door != Door::kOpen) return "";
  Json body;
  body["events"] = Json::array();
  for (const Event& event : m_history) {
    if (event.rev > after) body["events"].push_back(event.json);
  }
  body["as-of"] = m_rev;
  return JsonAnswer(200, body);
}

std::string Store::Txn(const Message& request) {
  const std::lock_guard lock(m_mutex);
  const Json body = Json::parse(request.body);
  Json items = Json::array();
  bool holds = true;
  for (const Json& row : body.at("expected")) {
    const auto key = row.at("key").get<std::string>();
    const auto it = m_items.find(key);
    const std::uint64_t rev = it == m_items.end() ? 0 : it->second.rev;
    holds = holds && rev == row.at("rev").get<std::uint64_t>();
    if (it != m_items.end()) items.push_back(ToJson(key, it->second));
  }
  if (!holds) return JsonAnswer(412, Json{{"items", items}});
  for (const Json& put : body.at("puts")) {
    const auto lease = put.at("lease").get<std::uint64_t>();
    if (lease != 0 && !m_leases.contains(lease)) {
      return JsonAnswer(404, Json::object());
    }
  }
  ++m_rev;
  for (const Json& put : body.at("puts")) {
    Write(put.at("key").get<std::string>(),
          DecodeBase64(put.at("value").get<std::string>()),
          put.at("lease").get<std::uint64_t>());
  }
  for (const Json& key : body.at("delete")) Erase(key.get<std::string>());
  m_changed.notify_all();
  return JsonAnswer(200, Json{{"rev", m_rev}});
}

std::string Store::Grant(const std::string& daemon, const Message& request) {
  const std::lock_guard lock(m_mutex);
  const auto ttl = Json::parse(request.body).at("ttl-ms").get<std::int64_t>();
  const std::uint64_t id = ++m_next_lease;
  m_leases[id] = Lease{daemon, ttl, NowMs() + ttl};
  return JsonAnswer(200, Json{{"lease", id}, {"ttl-ms", ttl}});
}

std::string Store::Keep(const std::string& daemon, std::uint64_t lease) {
  OnRenewed on_renewed;
  std::int64_t ttl = 0;
  {
    const std::lock_guard lock(m_mutex);
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) return JsonAnswer(404, Json::object());
    ttl = it->second.ttl_ms;
    it->second.ends = NowMs() + ttl;
    on_renewed = m_on_renewed;
  }
  if (on_renewed) on_renewed(daemon);
  return JsonAnswer(200, Json{{"ttl-ms", ttl}});
}

void Store::Write(const std::string& key, const std::string& value,
                  std::uint64_t lease) {
  Item& item = m_items[key];
  item.value = value;
  item.rev = m_rev;
  item.lease = lease;
  if (item.created == 0) item.created = m_rev;
  m_history.push_back({m_rev, ToJson(key, item)});
}

void Store::Erase(const std::string& key) {
  if (m_items.erase(key) == 0) return;
  m_history.push_back(
      {m_rev, Json{{"key", key}, {"rev", m_rev}, {"removed", true}}});
}

void Store::EndLease(std::uint64_t lease) {
  ++m_rev;
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Erase(key);
  m_leases.erase(lease);
  m_changed.notify_all();
}

nlohmann::json Store::ToJson(const std::string& key, const Item& item) {
  return Json{{"key", key},
              {"value", EncodeBase64(item.value)},
              {"rev", item.rev},
              {"created-rev", item.created},
              {"lease", item.lease}};
}

void Store::ExpireLeases() {
  for (;;) {
    SleepMs(10);
    const std::lock_guard lock(m_mutex);
    if (m_stopping) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
      if (NowMs() >= lease.ends) ended.push_back(id);
    }
    for (const std::uint64_t id : ended) EndLease(id);
  }
}

}  // namespace review
