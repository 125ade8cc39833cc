/// \file
/// \brief What all trials share: their folder, servers, the configuration, and
/// clients.

#ifndef REVIEW_STANDINS_3_TRIAL_H_
#define REVIEW_STANDINS_3_TRIAL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "node.h"
#include "record.h"
#include "store.h"

namespace review {

/// The exit status of a trial.
enum class Verdict : std::uint8_t { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// A folder for settings and logs, removed at the end.
class ScratchFolder {
 public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

/// Whether the trial's disruption is to be played.
bool HasTrouble();

struct RouteOptions {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 1'000;
  int slo_ms = 150;
  int max_attempts = 1;
  bool resumable = false;
  /// Set for model servers.
  std::string model;
};

/// The operator's configuration as text.
std::string ConfigText(int version, const std::vector<RouteOptions>& routes);

/// What a server writes of itself into the store.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;
  std::string zone = "zone-a";
  std::string state = "ready";
  int slots = 6;
  std::uint64_t born = 0;
  std::uint64_t seq = 0;
  /// Set for model servers.
  std::string model;
};

std::string EntryText(const ServerEntry& entry);

/// One client attempt.
struct ClientRequest {
  std::string attempt;
  std::string method = "POST";
  std::string path;
  std::string body;
  int deadline_ms = 1'000;
  /// More header fields, each with its line's end.
  std::string fields;
};

struct ClientAnswer {
  /// Zero if no whole answer came.
  int status = 0;
  Message message;
  std::string what;
};

/// The bytes of a client's request.
std::string Encode(const ClientRequest& request);

/// Sends the request on a new connection and waits for its answer.
ClientAnswer Ask(const Node& node, const ClientRequest& request);

/// An id that no other attempt has.
std::string NewAttempt();

/// The head of a server's answer, for a body of that size.
std::string AnswerHead(int status, const Message& request,
                       const std::string& more_fields, std::size_t body_size);

}  // namespace review

#endif  // REVIEW_STANDINS_3_TRIAL_H_
