#include "trial.h"

#include <stdlib.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr char kHost[] = "desk.example";
constexpr std::int64_t kConnectMs = 1'000;

// As the sheet of a small deployment has it.
Json EngineSpec(const std::string& model) {
  return {{"slots", 64},
          {"kv-capacity", 154'986},
          {"models",
           {{{"name", model},
             {"weights-mb", 34'300.0},
             {"load-s", 1.3},
             {"adapters", 3'000},
             {"adapter-mb", 40.0}}}},
          {"weights-mb", 36'200.0},
          {"adapter-slots", 29},
          {"loads-per-s", 2.6}};
}

}  // namespace

ScratchFolder::ScratchFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  m_path = path;
}

ScratchFolder::~ScratchFolder() {
  std::error_code ignored;
  const char* kept = ::getenv("KEEP_LOGS");
  if (kept == nullptr) std::filesystem::remove_all(m_path, ignored);
}

bool HasTrouble() {
  const char* value = ::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

std::string ConfigText(int version, const std::vector<RouteOptions>& routes) {
  Json config;
  config["version"] = version;
  config["routes"] = Json::array();
  config["services"] = Json::array();
  for (const RouteOptions& route : routes) {
    config["routes"].push_back(
        {{"name", "r" + std::to_string(config["routes"].size())},
         {"host", kHost},
         {"prefix", route.prefix},
         {"kind", route.kind},
         {"timeout-ms", route.timeout_ms},
         {"slo-ms", route.slo_ms},
         {"priority", 2},
         {"service", route.service},
         {"max-attempts", route.max_attempts},
         {"resumable", route.resumable}});
    Json service = {{"name", route.service},
                    {"health-path", "/health"},
                    {"max-conns", 370},
                    {"protocol", "h1"},
                    {"tls", false}};
    if (!route.model.empty()) service["engine"] = EngineSpec(route.model);
    auto& services = config["services"];
    if (std::find(services.begin(), services.end(), service) ==
        services.end()) {
      services.push_back(service);
    }
  }
  config["limits"] = {{"max-header-bytes", 16'384},
                      {"max-body-bytes", 4'194'304},
                      {"header-timeout-ms", 3'000},
                      {"idle-timeout-ms", 15'000}};
  return config.dump();
}

std::string EntryText(const ServerEntry& entry) {
  Json json = {{"service", entry.service}, {"addr", entry.address},
               {"zone", entry.zone},       {"version", "v1"},
               {"slots", entry.slots},     {"state", entry.state},
               {"cold-left-ms", 0},        {"stage", ""},
               {"models", Json::array()},  {"seq", entry.seq},
               {"born", entry.born}};
  if (!entry.model.empty()) {
    json["models"] = {
        {{"name", entry.model}, {"version", 1}, {"adapters", Json::array()}}};
  }
  return json.dump();
}

std::string Encode(const ClientRequest& request) {
  std::string bytes = request.method + " " + request.path +
                      " HTTP/1.1\r\nHost: " + kHost +
                      "\r\nAttempt-Id: " + request.attempt +
                      "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms);
  if (request.method == "POST") {
    bytes += "\r\nContent-Length: " + std::to_string(request.body.size());
  }
  return bytes + "\r\n" + request.fields + "\r\n" + request.body;
}

ClientAnswer Ask(const Node& node, const ClientRequest& request) {
  ClientAnswer answer;
  const auto connection =
      Connection::Open(node.ip(), node.front_port(), kConnectMs);
  if (!connection || !connection->Write(Encode(request))) {
    answer.what = "no connection";
    return answer;
  }
  const ReadEnd end =
      connection->ReadResponse(answer.message, request.deadline_ms);
  if (end == ReadEnd::kWhole) answer.status = answer.message.status();
  answer.what = end == ReadEnd::kWhole    ? answer.message.start
                : end == ReadEnd::kBroken ? "connection closed"
                                          : "deadline";
  return answer;
}

std::string NewAttempt() {
  static std::atomic<std::uint64_t> last = 0;
  constexpr std::size_t kLength = 16;
  std::string digits = std::to_string(++last);
  return std::string(kLength - digits.size(), 'a') + digits;
}

std::string AnswerHead(int status, const Message& request,
                       const std::string& more_fields, std::size_t body_size) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nAttempt-Id: " + request.Find("Attempt-Id") + "\r\n" +
         more_fields + "Content-Length: " + std::to_string(body_size) +
         "\r\n\r\n";
}

}  // namespace review
