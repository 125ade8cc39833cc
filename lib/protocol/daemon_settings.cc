/// \file
/// \brief Parsing of the daemons' settings.

#include "yuccamoor/protocol/daemon_settings.h"

#include <limits>
#include <optional>

#include "yuccamoor/protocol/field_reader.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMaxThreads = 256;
constexpr DurationMs kLongestGrace(600'000);
constexpr DurationMs kLongestDeadline(3'600'000);
constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;
constexpr std::uint64_t kMaxRequests = 1'000'000;

template <class Id>
void ReadId(FieldReader& reader, std::string_view name, Id& id) {
  std::string text;
  reader.RequiredString(name, text);
  id = Id(text);
}

/// Reads "ip:port" of another process. The IP number is checked on use.
void ReadAddress(FieldReader& reader, std::string_view name, bool required,
                 std::string& out) {
  if (required) {
    reader.RequiredString(name, out);
  } else {
    reader.OptionalString(name, out);
  }
  if (!out.empty() && out.find(':') == std::string::npos) {
    reader.Report(name, "is not an address", "give ip:port");
  }
}

void ReadListen(FieldReader& reader, std::string_view name,
                ListenAddress& out) {
  std::string text;
  reader.OptionalString(name, text);
  if (text.empty()) return;
  const std::size_t colon = text.rfind(':');
  std::uint64_t port = kMaxPort + 1;
  if (colon != std::string::npos && colon + 1 < text.size() &&
      text.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
      text.size() - colon <= 6) {
    port = std::stoull(text.substr(colon + 1));
  }
  if (port > kMaxPort) {
    reader.Report(name, "is not an address", "give ip:port, port 0 to 65535");
    return;
  }
  out.ip = text.substr(0, colon);
  out.port = static_cast<std::uint16_t>(port);
}

void ReadStrings(const Json& root, FieldReader& reader, const char* name,
                 std::vector<std::string>& out) {
  if (!reader.Has(name)) return;
  const Json& list = root.at(name);
  if (!list.is_array()) {
    reader.Report(name, "is not an array");
    return;
  }
  for (const Json& entry : list) {
    if (!entry.is_string()) {
      reader.Report(name, "holds an entry that is not a string");
      return;
    }
    out.push_back(entry.get<std::string>());
  }
}

void ReadDaemon(const Json& root, FieldReader& reader,
                DaemonSettings& settings) {
  ReadId(reader, "node", settings.node);
  ReadId(reader, "vm", settings.vm);
  ReadId(reader, "failure_domain", settings.failure_domain);
  reader.OptionalString("region", settings.region);
  ReadListen(reader, "peer_listen", settings.peer_listen);
  ReadListen(reader, "operator_listen", settings.operator_listen);
  ReadAddress(reader, "key_value_service", true, settings.key_value_service);
  ReadAddress(reader, "vm_list", false, settings.vm_list);
  reader.Known("peers");
  ReadStrings(root, reader, "peers", settings.peers);
  std::uint64_t threads = settings.threads;
  reader.OptionalCount("threads", 1, kMaxThreads, threads);
  settings.threads = threads;
  reader.OptionalDuration("unready_time_ms", DurationMs(0), kLongestGrace,
                          settings.unready_time);
  reader.OptionalDuration("shutdown_grace_ms", DurationMs(0), kLongestGrace,
                          settings.shutdown_grace);
  reader.OptionalString("trace_file", settings.trace_file);
  ReadAddress(reader, "trace_collector", false, settings.trace_collector);
  if (!settings.trace_file.empty() && !settings.trace_collector.empty()) {
    reader.Report("trace_collector", "is given beside trace_file",
                  "give one of the two");
  }
}

void ReadRole(const Json& /*root*/, FieldReader& reader,
              GatewaySettings& settings) {
  ReadListen(reader, "listen", settings.listen);
  std::uint64_t body = settings.max_body_bytes;
  reader.OptionalCount("max_body_bytes", 1, kMaxBodyBytes, body);
  settings.max_body_bytes = body;
  std::uint64_t requests = settings.max_requests;
  reader.OptionalCount("max_requests", 1, kMaxRequests, requests);
  settings.max_requests = requests;
  reader.OptionalDuration("default_deadline_ms", DurationMs(1),
                          kLongestDeadline, settings.default_deadline);
}

void ReadRole(const Json& root, FieldReader& reader,
              SchedulerSettings& settings) {
  std::vector<std::string> cells;
  reader.Known("cells");
  ReadStrings(root, reader, "cells", cells);
  for (std::string& cell : cells) settings.cells.emplace_back(std::move(cell));
  reader.OptionalString("policy", settings.policy);
  if (settings.policy != "weighted" && settings.policy != "naive") {
    reader.Report("policy", "is not a known policy", "give weighted or naive");
  }
}

template <class Settings>
Result<Settings> Parse(std::string_view text, const std::string& source) {
  auto json = ParseJson(text, source);
  if (!json) return json.error();
  const Json& root = json.value();
  if (!root.is_object()) {
    return Findings(
        Finding{Place{source, "", 0, 0}, "is not a JSON object", ""});
  }
  Settings settings;
  Findings findings;
  FieldReader reader(root, source, "", findings);
  ReadDaemon(root, reader, settings.daemon);
  ReadRole(root, reader, settings);
  reader.ReportUnknownFields();
  if (!findings.empty()) return findings;
  return settings;
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(std::string_view text,
                                             const std::string& source) {
  return Parse<GatewaySettings>(text, source);
}

Result<SchedulerSettings> ParseSchedulerSettings(std::string_view text,
                                                 const std::string& source) {
  return Parse<SchedulerSettings>(text, source);
}

}  // namespace yuccamoor
