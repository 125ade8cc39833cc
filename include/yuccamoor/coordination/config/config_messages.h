/// \file
/// \brief Messages between daemons that pass the configuration on.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_CONFIG_MESSAGES_H_
#define YUCCAMOOR_COORDINATION_CONFIG_CONFIG_MESSAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_records.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The method that exchanges two ConfigAnnounce.
constexpr char kConfigExchangeMethod[] = "config.exchange";
/// The method that takes a ConfigFetch and answers with ConfigBlobs.
constexpr char kConfigFetchMethod[] = "config.fetch";

/// The most hashes that one fetch asks for.
constexpr std::size_t kMaxFetchHashes = 16;
/// The size beyond which no further blob is added to an answer, in bytes.
constexpr std::size_t kFetchReplyBytes = 524'288;

/// What the sender has in force. Sent in both directions of an exchange.
struct ConfigAnnounce {
  NodeId from;
  /// Where the sender takes calls of peers, as "ip:port".
  std::string address;
  FailureDomainId failure_domain;
  /// Zero: the sender has no configuration yet.
  Revision revision;
  SegmentHash manifest;
  /// The time since no newer revision was in force; absent if that was never
  /// known.
  std::optional<DurationMs> confirmed_age;

  friend bool operator==(const ConfigAnnounce&,
                         const ConfigAnnounce&) = default;
};

/// Asks for manifests and segments by hash.
struct ConfigFetch {
  std::vector<SegmentHash> hashes;

  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

/// A manifest or segment.
struct ConfigBlob {
  SegmentHash hash;
  std::string bytes;

  friend bool operator==(const ConfigBlob&, const ConfigBlob&) = default;
};

/// The answer to a fetch: what the peer holds of it, up to a size.
struct ConfigBlobs {
  std::vector<ConfigBlob> blobs;

  friend bool operator==(const ConfigBlobs&, const ConfigBlobs&) = default;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_CONFIG_MESSAGES_H_
