/// \file
/// \brief Bounds the bytes that a node keeps for all messages that have not
/// ended, and decides which of them is given up.

#ifndef YUCCAMOOR_COORDINATION_FLEET_MESSAGE_BUDGET_H_
#define YUCCAMOOR_COORDINATION_FLEET_MESSAGE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Names a message that a node keeps bytes for.
enum class KeptMessageId : std::uint64_t {};

struct MessageBudgetOptions {
  /// For all messages together.
  std::size_t max_bytes = 25'165'824;
  /// A message with fewer is never given up.
  std::size_t small_bytes = 4'096;
  /// A message that made no progress for this long is stalled.
  DurationMs stalled_after{1'000};
  /// Fewer bytes that have come or gone are no progress.
  std::size_t progress_bytes = 4'096;
};

/// What a message takes up.
struct KeptSize {
  /// The memory that it keeps, in bytes.
  std::size_t bytes = 0;
  /// The bytes of it that have come, and of those passed on, that have gone.
  std::uint64_t moved = 0;
  /// Whether it waits for this node, not for its peer.
  bool is_served = false;
};

/// Counts what messages keep. Beyond the bound, those are given up that are
/// stalled, then those that keep most, and served ones last. Small messages are
/// never given up, so they may exceed the bound.
class MessageBudget {
 public:
  explicit MessageBudget(const MessageBudgetOptions& options = {})
      : m_options(options) {}

  /// Notes what the message takes up. Without effect on one that was given up.
  void Set(KeptMessageId message, const KeptSize& size, TimeMs now);
  /// The message has ended and keeps nothing any more.
  void Remove(KeptMessageId message);
  /// Returns the next message to give up, which is not counted any more;
  /// nothing while the bound is kept.
  std::optional<KeptMessageId> TakeExcess(TimeMs now);

  /// What is kept for messages that were not given up.
  std::size_t bytes() const { return m_bytes; }
  std::size_t max_bytes() const { return m_options.max_bytes; }

 private:
  struct Kept {
    std::size_t bytes = 0;
    // What had moved at the last progress, and its time.
    std::uint64_t progress = 0;
    TimeMs progress_at;
    bool is_served = false;
    bool given_up = false;
  };

  bool IsStalled(const Kept& kept, TimeMs now) const;
  bool MayGiveUp(const Kept& kept) const;
  /// Whether \p a is given up rather than \p b.
  bool ComesFirst(const Kept& a, const Kept& b, TimeMs now) const;

  MessageBudgetOptions m_options;
  std::map<KeptMessageId, Kept> m_messages;
  std::size_t m_bytes = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_MESSAGE_BUDGET_H_
