#include "support/platform_store.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "yuccamoor/protocol/request/base64.h"

namespace yuccamoor {

namespace {

// The longest time for which a watch waits.
constexpr DurationMs kWatchTime{400};
constexpr int kHex = 16;
constexpr std::size_t kEscapeLength = 3;

std::uint64_t Number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns the byte that "%XX" at the beginning stands for, or nothing.
std::optional<char> Escaped(std::string_view text) {
  unsigned byte = 0;
  if (text.size() < kEscapeLength || text[0] != '%') return std::nullopt;
  const char* end = text.data() + kEscapeLength;
  const auto parsed = std::from_chars(text.data() + 1, end, byte, kHex);
  if (parsed.ptr != end) return std::nullopt;
  return static_cast<char>(byte);
}

// Whether RFC 3986 allows the text as path and query.
bool IsTarget(std::string_view text) {
  constexpr std::string_view kMarks = "-._~!$&'()*+,;=:@/?";
  if (!text.starts_with('/')) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    const bool is_plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                          kMarks.find(c) != std::string_view::npos;
    if (!is_plain && !Escaped(text.substr(i))) return false;
  }
  return true;
}

std::string DecodeForm(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    const std::optional<char> escaped = Escaped(text);
    const char plain = text[0] == '+' ? ' ' : text[0];
    decoded += escaped.value_or(plain);
    text.remove_prefix(escaped ? kEscapeLength : 1);
  }
  return decoded;
}

// Returns the field of the target's query, or an empty text.
std::string QueryField(std::string_view target, std::string_view name) {
  target.remove_prefix(std::min(target.find('?'), target.size()));
  while (!target.empty()) {
    target.remove_prefix(1);
    const std::size_t end = std::min(target.find('&'), target.size());
    const std::string_view field = target.substr(0, end);
    const std::size_t equals = std::min(field.find('='), field.size());
    if (field.substr(0, equals) == name && equals < field.size()) {
      return DecodeForm(field.substr(equals + 1));
    }
    target.remove_prefix(end);
  }
  return {};
}

std::string Joined(const std::string& list, const std::string& items,
                   bool has_more, std::uint64_t revision) {
  return "{\"" + list + "\":[" + items +
         "],\"more-pages\":" + (has_more ? "true" : "false") +
         ",\"as-of\":" + std::to_string(revision) + "}";
}

void AppendItem(std::string& items, const std::string& item) {
  if (!items.empty()) items += ',';
  items += item;
}

}  // namespace

PlatformStore::PlatformStore(WorkerPool& pool) {
  auto server = HttpServer::Create(
      pool, {}, [this](HttpExchange& exchange) { return Serve(exchange); });
  if (!server) throw std::runtime_error(server.error().ToString());
  m_server = std::move(server).value();
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Write(key, value, 0);
}

void PlatformStore::PutItem(const std::string& key, const std::string& item) {
  const std::lock_guard lock(m_mutex);
  m_items[key] = {item, "", ++m_revision};
}

void PlatformStore::SetPageSize(std::size_t items) {
  const std::lock_guard lock(m_mutex);
  m_page_size = items;
}

void PlatformStore::RepeatPages() {
  const std::lock_guard lock(m_mutex);
  m_repeats_pages = true;
}

void PlatformStore::RefuseReads(int status) {
  const std::lock_guard lock(m_mutex);
  m_read_status = status;
}

void PlatformStore::SetHeartbeat(std::optional<std::string> key) {
  const std::lock_guard lock(m_mutex);
  m_heartbeat_key = std::move(key);
}

std::size_t PlatformStore::pages_read() const {
  const std::lock_guard lock(m_mutex);
  return m_pages_read;
}

void PlatformStore::Write(const std::string& key, const std::string& value,
                          std::uint64_t lease) {
  ++m_revision;
  m_items[key] = {Json{{"key", key},
                       {"value", EncodeBase64(value)},
                       {"rev", m_revision},
                       {"created-rev", m_revision},
                       {"lease", lease}}
                      .dump(),
                  value, m_revision};
}

std::string PlatformStore::Page(const std::string& after) {
  ++m_pages_read;
  std::string items;
  std::size_t count = 0;
  auto it = m_items.upper_bound(m_repeats_pages ? "" : after);
  for (; it != m_items.end() && count < m_page_size; ++it, ++count) {
    AppendItem(items, it->second.text);
  }
  return Joined("items", items, it != m_items.end(), m_revision);
}

std::string PlatformStore::EventsAfter(std::uint64_t revision) {
  if (m_heartbeat_key) {
    const std::string value = m_items[*m_heartbeat_key].value;
    Write(*m_heartbeat_key, value, 0);
  }
  std::map<std::uint64_t, std::string> texts;
  for (const auto& [key, item] : m_items) {
    if (item.revision > revision) texts[item.revision] = item.text;
  }
  std::string events;
  for (const auto& [written, text] : texts) AppendItem(events, text);
  return Joined("events", events, false, m_revision);
}

std::uint64_t PlatformStore::Transact(const std::string& body) {
  const Json json = Json::parse(body);
  for (const Json& put : json.at("puts")) {
    Write(put.at("key").get<std::string>(),
          DecodeBase64(put.at("value").get<std::string>()).value_or(""),
          put.at("lease").get<std::uint64_t>());
  }
  return m_revision;
}

HttpResponse PlatformStore::Answer(const HttpRequest& request) {
  constexpr std::uint64_t kLeaseMs = 3'000;
  const std::lock_guard lock(m_mutex);
  const std::string& target = request.target;
  if (!IsTarget(target)) return JsonResponse(400, "{}");
  if (target.starts_with("/kv-watch")) {
    return JsonResponse(200, EventsAfter(Number(QueryField(target, "after"))));
  }
  if (target.starts_with("/kv-range")) {
    return JsonResponse(m_read_status, Page(QueryField(target, "after")));
  }
  if (target == "/kv-txn") {
    return JsonResponse(200, Json{{"rev", Transact(request.body)}}.dump());
  }
  return JsonResponse(200, Json{{"lease", 1}, {"ttl-ms", kLeaseMs}}.dump());
}

Awaitable<void> PlatformStore::Serve(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target.starts_with("/kv-watch")) co_await SleepFor(kWatchTime);
  HttpResponse response = Answer(request);
  response.headers.Add("Store-Era", "1");
  co_await exchange.Send(std::move(response));
}

}  // namespace yuccamoor
