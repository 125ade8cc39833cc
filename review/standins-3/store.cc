#include "store.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;
using Query = std::map<std::string, std::string>;

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kPageItems = 500;
constexpr std::int64_t kLongestWaitMs = 30'000;
constexpr std::int64_t kForeverMs = 3'600'000;
constexpr std::int64_t kExpiryMs = 20;

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      constexpr int kHex = 16;
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHex));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

Query QueryOf(const std::string& target) {
  Query query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string field = rest.substr(0, end);
    const std::size_t equals = std::min(field.find('='), field.size() - 1);
    query[field.substr(0, equals)] = Unescape(field.substr(equals + 1));
    rest.erase(0, std::min(end + 1, rest.size()));
  }
  return query;
}

std::uint64_t NumberOf(const Query& query, const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string TextOf(const Query& query, const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

// Returns the number after the path's last slash.
std::uint64_t IdOf(const std::string& path) {
  return std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte =
          k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      group = group << 8U | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const std::uint32_t digit = group >> (18U - 6U * k) & 63U;
      out += k <= count ? kDigits[digit] : '=';
    }
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t group = 0;
  std::uint32_t bits = 0;
  for (const char c : text) {
    const std::size_t digit = kDigits.find(c);
    if (digit == std::string_view::npos) break;
    group = group << 6U | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255U);
  }
  return out;
}

Store::Store(std::string ip)
    : m_ip(std::move(ip)), m_expiry([this] { ExpireLeases(); }) {}

std::string Store::AddDoor() {
  const std::uint16_t port = FreePort(m_ip);
  std::string address = m_ip + ":" + std::to_string(port);
  m_doors.push_back(std::make_unique<Server>(
      m_ip, port,
      [this, address](Connection& connection) { Serve(connection, address); }));
  return address;
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  for (const auto& door : m_doors) door->Stop();
  m_expiry.join();
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  RemoveLocked(key);
}

void Store::Copy() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_copied_items = m_items;
  m_copied_leases = m_leases;
  m_copied_revision = m_revision;
}

void Store::Restore(std::int64_t away_ms) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_away = true;
    ++m_cuts;
  }
  m_changed.notify_all();
  SleepMs(away_ms);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_items = m_copied_items;
  m_leases = m_copied_leases;
  for (auto& [id, lease] : m_leases) lease.ends_at = NowMs() + lease.ttl_ms;
  m_revision = m_copied_revision;
  m_events.clear();
  m_first_event = m_revision;
  ++m_era;
  m_away = false;
}

void Store::BeAway(std::int64_t away_ms) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_away = true;
    ++m_cuts;
  }
  m_changed.notify_all();
  SleepMs(away_ms);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_away = false;
}

void Store::CutWatches() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_cuts;
  m_changed.notify_all();
}

bool Store::IsAway() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_away;
}

bool Store::IsRejected(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return address == m_rejected;
}

void Store::StaySilent() const {
  constexpr std::int64_t kLookMs = 50;
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopping) return;
    }
    SleepMs(kLookMs);
  }
}

std::int64_t Store::RenewedAgoMs(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_renewed.find(address);
  return it == m_renewed.end() ? kForeverMs : NowMs() - it->second;
}

void Store::Reject(const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rejected = address;
    ++m_cuts;
  }
  m_changed.notify_all();
}

std::string Store::FindValue(const std::string& key_end) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, item] : m_items) {
    const bool ends_so =
        key.size() >= key_end.size() &&
        key.compare(key.size() - key_end.size(), key_end.size(), key_end) == 0;
    if (ends_so) return item.value;
  }
  return {};
}

std::uint64_t Store::era() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_era;
}

std::int64_t Store::WatchWaitedMs() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_waiting_since.empty() ? 0 : NowMs() - *m_waiting_since.begin();
}

std::size_t Store::CountKeys(const std::string& part) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::size_t>(
      std::count_if(m_items.begin(), m_items.end(), [&](const auto& item) {
        return item.first.find(part) != std::string::npos;
      }));
}

std::uint64_t Store::PutLocked(const std::string& key, const std::string& value,
                               std::uint64_t lease) {
  Item& item = m_items[key];
  item.value = value;
  item.revision = ++m_revision;
  if (item.created == 0) item.created = m_revision;
  item.lease = lease;
  m_events.push_back({key, m_revision, false, item});
  m_changed.notify_all();
  return m_revision;
}

void Store::RemoveLocked(const std::string& key) {
  if (m_items.erase(key) == 0) return;
  m_events.push_back({key, ++m_revision, true, {}});
  m_changed.notify_all();
}

bool Store::EndLeaseLocked(std::uint64_t lease) {
  if (m_leases.erase(lease) == 0) return false;
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) RemoveLocked(key);
  return true;
}

void Store::ExpireLeases() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
      if (NowMs() >= lease.ends_at) ended.push_back(id);
    }
    for (const std::uint64_t id : ended) EndLeaseLocked(id);
    lock.unlock();
    SleepMs(kExpiryMs);
    lock.lock();
  }
}

Json Store::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"rev", item.revision},
          {"created-rev", item.created},
          {"lease", item.lease}};
}

void Store::Serve(Connection& connection, const std::string& address) {
  Message request;
  while (connection.ReadRequest(request, kForeverMs) == ReadEnd::kWhole) {
    if (IsRejected(address)) return;
    const bool was_away = IsAway();
    Reply reply;
    if (!was_away) reply = Answer(request, address);
    if (was_away || IsAway()) {
      StaySilent();
      return;
    }
    if (reply.is_cut || IsRejected(address)) return;
    const std::string body = reply.body.dump();
    const std::string head = "HTTP/1.1 " + std::to_string(reply.status) +
                             " Status\r\nContent-Type: application/json\r\n"
                             "Store-Era: " +
                             std::to_string(era()) + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    if (!connection.Write(head + body)) return;
  }
}

Store::Reply Store::Answer(const Message& request, const std::string& address) {
  const std::string path = PathOf(request.target());
  const Query query = QueryOf(request.target());
  const Json body = Json::parse(request.body, nullptr, false);
  if (path == "/kv-range") return AnswerRange(query);
  if (path == "/kv-watch") return AnswerWatch(query);
  if (path == "/kv-key") return AnswerKey(query);
  if (path == "/kv-txn") return AnswerTransaction(body);
  if (path == "/kv-lease") return AnswerLease(body);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (path.rfind("/kv-keep/", 0) == 0) {
    const auto lease = m_leases.find(IdOf(path));
    if (lease == m_leases.end()) return {404, Json::object()};
    lease->second.ends_at = NowMs() + lease->second.ttl_ms;
    m_renewed[address] = NowMs();
    return {};
  }
  if (path.rfind("/kv-lease-end/", 0) == 0) {
    return {EndLeaseLocked(IdOf(path)) ? 200 : 404, Json::object()};
  }
  return {400, Json::object()};
}

Store::Reply Store::AnswerRange(const Query& query) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::string prefix = TextOf(query, "prefix");
  const std::string after = TextOf(query, "after");
  Reply reply;
  reply.body["items"] = Json::array();
  reply.body["more-pages"] = false;
  reply.body["as-of"] = m_revision;
  for (const auto& [key, item] : m_items) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    if (reply.body["items"].size() == kPageItems) {
      reply.body["more-pages"] = true;
      break;
    }
    reply.body["items"].push_back(ToJson(key, item));
  }
  return reply;
}

Store::Reply Store::AnswerWatch(const Query& query) {
  const std::string prefix = TextOf(query, "prefix");
  const std::uint64_t after = NumberOf(query, "after");
  const auto wait_ms = std::min<std::int64_t>(
      static_cast<std::int64_t>(NumberOf(query, "wait-ms")), kLongestWaitMs);
  const auto matches = [&](const Event& event) {
    return event.revision > after && event.key.rfind(prefix, 0) == 0;
  };
  std::unique_lock<std::mutex> lock(m_mutex);
  if (after > m_revision || after < m_first_event) {
    return {410, Json::object()};
  }
  const auto waiting = m_waiting_since.insert(NowMs());
  const std::uint64_t cuts = m_cuts;
  m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return m_stopping || m_cuts > cuts ||
           std::any_of(m_events.begin(), m_events.end(), matches);
  });
  m_waiting_since.erase(waiting);
  Reply reply;
  reply.is_cut = m_cuts > cuts;
  reply.body["events"] = Json::array();
  reply.body["as-of"] = m_revision;
  for (const Event& event : m_events) {
    if (!matches(event)) continue;
    if (event.removed) {
      reply.body["events"].push_back(
          {{"key", event.key}, {"rev", event.revision}, {"removed", true}});
    } else {
      reply.body["events"].push_back(ToJson(event.key, event.item));
    }
  }
  return reply;
}

Store::Reply Store::AnswerKey(const Query& query) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto item = m_items.find(TextOf(query, "key"));
  if (item == m_items.end()) return {404, Json::object()};
  Reply reply;
  reply.body = ToJson(item->first, item->second);
  reply.body["as-of"] = m_revision;
  return reply;
}

Store::Reply Store::AnswerTransaction(const Json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!body.is_object()) return {400, Json::object()};
  bool holds = true;
  Reply conflict{412, Json::object()};
  conflict.body["items"] = Json::array();
  for (const Json& row : body.value("expected", Json::array())) {
    const auto item = m_items.find(row.at("key").get<std::string>());
    const std::uint64_t revision =
        item == m_items.end() ? 0 : item->second.revision;
    holds = holds && revision == row.at("rev").get<std::uint64_t>();
    if (item == m_items.end()) continue;
    conflict.body["items"].push_back(ToJson(item->first, item->second));
  }
  if (!holds) return conflict;
  for (const Json& put : body.value("puts", Json::array())) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && m_leases.count(lease) == 0) return {404, Json::object()};
  }
  for (const Json& put : body.value("puts", Json::array())) {
    PutLocked(put.at("key").get<std::string>(),
              DecodeBase64(put.at("value").get<std::string>()),
              put.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : body.value("delete", Json::array())) {
    RemoveLocked(key.get<std::string>());
  }
  Reply reply;
  reply.body["rev"] = m_revision;
  return reply;
}

Store::Reply Store::AnswerLease(const Json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!body.is_object()) return {400, Json::object()};
  const std::int64_t ttl_ms = body.value("ttl-ms", std::int64_t{1'000});
  const std::uint64_t id = ++m_last_lease;
  m_leases[id] = {ttl_ms, NowMs() + ttl_ms};
  Reply reply;
  reply.body["lease"] = id;
  reply.body["ttl-ms"] = ttl_ms;
  return reply;
}

}  // namespace review
