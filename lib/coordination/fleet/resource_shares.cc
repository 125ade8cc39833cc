#include "yuccamoor/coordination/fleet/resource_shares.h"

#include <algorithm>

namespace yuccamoor::fleet {

namespace {

// Descriptors of a process that are not for sockets.
constexpr std::size_t kFileDescriptors = 200;
// The rest of the memory is for what the node knows, for what has come since
// the unread bytes were counted, and for what the allocator does not give back.
constexpr std::size_t kMessageMemoryPart = 5;
constexpr std::size_t kMinMessageBytes = 1'048'576;
constexpr std::size_t kMinClientDescriptors = 8;
// Of the sockets: three quarters, an eighth, and a 32nd for each status
// address. The rest is for the store, peers and orders to engines.
constexpr std::size_t kQuarters = 4;
constexpr std::size_t kIdleCallPart = 8;
constexpr std::size_t kStatusPart = 32;
constexpr std::size_t kMaxStatusDescriptors = 64;
constexpr std::size_t kMinStatusDescriptors = 4;

}  // namespace

ResourceShares ResourceShares::For(const NodeSettings& settings) {
  ResourceShares shares;
  // A question for the status takes no call.
  shares.status.served_descriptors = 1;
  shares.status.max_descriptors = kMaxStatusDescriptors;
  if (settings.max_memory_bytes > 0) {
    shares.messages.max_bytes = std::max<std::size_t>(
        settings.max_memory_bytes / kMessageMemoryPart, kMinMessageBytes);
  }
  if (settings.max_descriptors == 0) return shares;
  const std::size_t sockets = settings.max_descriptors > kFileDescriptors
                                  ? settings.max_descriptors - kFileDescriptors
                                  : 0;
  shares.clients.max_descriptors =
      std::max(sockets / kQuarters * (kQuarters - 1), kMinClientDescriptors);
  shares.max_idle_calls = sockets / kIdleCallPart;
  shares.status.max_descriptors = std::clamp(
      sockets / kStatusPart, kMinStatusDescriptors, kMaxStatusDescriptors);
  return shares;
}

}  // namespace yuccamoor::fleet
