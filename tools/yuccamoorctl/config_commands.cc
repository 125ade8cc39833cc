/// \file
/// \brief Implementation of the commands about the configuration.

#include "config_commands.h"

#include <utility>

#include "yuccamoor/protocol/config/config_json.h"
#include "yuccamoor/protocol/config/json_config_codec.h"
#include "yuccamoor/transport/config/kv_connection.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kTimeout{20'000};

CommandResult Failed(int exit_code, std::string error) {
  return CommandResult{exit_code, {}, std::move(error)};
}

Json EntryToRow(const RootEntry& entry) {
  return Json{{"revision", entry.revision},
              {"publisher", entry.publisher},
              {"manifest", entry.manifest}};
}

/// Reads all that is in force by a publication that changes nothing.
PublishOutcome ReadAll(const std::string& kv_address) {
  const JsonConfigCodec codec;
  KvConnection connection(kv_address);
  PublishRequest request;
  request.dry_run = true;
  return connection.Publish(std::move(request), codec, kTimeout);
}

Json Summary(const PublishOutcome& outcome) {
  Json owners = Json::array();
  for (const auto& [owner, unit] : outcome.before) {
    owners.push_back({{"owner", owner},
                      {"cells", unit.cells.size()},
                      {"adapters", unit.adapters.size()},
                      {"aliases", unit.aliases.size()},
                      {"services", unit.services.size()},
                      {"tenants", unit.tenants.size()}});
  }
  return Json{{"revision", outcome.revision}, {"owners", std::move(owners)}};
}

}  // namespace

CommandResult ShowConfig(const std::string& kv_address,
                         const std::string& owner) {
  const PublishOutcome outcome = ReadAll(kv_address);
  if (outcome.status == PublishStatus::kGaveUp) {
    return Failed(kExitUnreachable, "the key-value service was not reached");
  }
  if (outcome.status == PublishStatus::kInvalid) {
    return Failed(kExitFailed, outcome.findings.ToString());
  }
  if (owner.empty()) return CommandResult{0, Summary(outcome), {}};
  const auto it = outcome.before.find(OwnerId(owner));
  if (it != outcome.before.end()) {
    return CommandResult{0, UnitToShow(it->second), {}};
  }
  std::string owners;
  for (const auto& [known, unit] : outcome.before) owners += " " + known.str();
  return Failed(kExitFailed, "no owner \"" + owner + "\"; there are:" + owners);
}

CommandResult ShowHistory(const std::string& kv_address) {
  const JsonConfigCodec codec;
  KvConnection connection(kv_address);
  const KvReply reply = connection.Call(KvGet{kConfigRootKey});
  if (reply.status == KvStatus::kNotFound) {
    return Failed(kExitFailed, "nothing was published yet");
  }
  if (reply.status != KvStatus::kOk || reply.entries.empty()) {
    return Failed(kExitUnreachable, "the key-value service was not reached");
  }
  const auto root = codec.DecodeRoot(reply.entries.front().value);
  if (root.has_error()) {
    return Failed(kExitFailed, root.error().ToString());
  }
  Json rows = Json::array({EntryToRow(root.value().current)});
  for (const RootEntry& e : root.value().history) rows.push_back(EntryToRow(e));
  return CommandResult{0, std::move(rows), {}};
}

CommandResult RollBack(const std::string& kv_address, std::uint64_t revision,
                       const std::string& publisher) {
  const JsonConfigCodec codec;
  KvConnection connection(kv_address);
  PublishRequest request;
  request.publisher = PublisherId(publisher);
  request.nonce = MakePublisherNonce();
  request.rollback = Revision(revision);
  const PublishOutcome outcome =
      connection.Publish(std::move(request), codec, kTimeout);
  const Json json{{"revision", outcome.revision}};
  switch (outcome.status) {
    case PublishStatus::kAccepted:
    case PublishStatus::kUnchanged:
      return CommandResult{0, json, {}};
    case PublishStatus::kOverlap:
      return Failed(kExitOverlap, outcome.winner.str() +
                                      " published meanwhile; nothing was "
                                      "changed");
    case PublishStatus::kUnknownRevision:
      return Failed(kExitFailed,
                    "that revision is not listed by \"config history\"");
    case PublishStatus::kUnknown:
      return Failed(kExitUnknown,
                    "the service's answer was lost; see \"config history\"");
    case PublishStatus::kGaveUp:
      return Failed(kExitUnreachable,
                    "the key-value service was not reached; nothing was "
                    "changed");
    default:
      return Failed(kExitFailed, outcome.findings.ToString());
  }
}

}  // namespace yuccamoor
