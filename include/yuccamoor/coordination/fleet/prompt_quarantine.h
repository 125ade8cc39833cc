/// \file
/// \brief Finds the parts of prompts that crash engines, and keeps requests
/// with them from further engines.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUARANTINE_H_
#define YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// A part in quarantine, for how much longer.
struct QuarantinedPart {
  PromptPartId part;
  DurationMs remaining{0};
};

/// What nodes tell each other about parts of prompts.
struct PromptPartNews {
  /// Parts of prompts that were without output when an engine broke off.
  std::map<EndpointProcess, std::vector<PromptPartId>> broken_off;
  /// Suspected parts of prompts that have got output.
  std::vector<PromptPartId> cleared;
  std::vector<QuarantinedPart> quarantined;

  bool empty() const {
    return broken_off.empty() && cleared.empty() && quarantined.empty();
  }
};

/// The suspected and the quarantined parts, as one node knows them.
///
/// An engine that crashes breaks off many prompts, and one of them may be the
/// cause. A part is quarantined when engines broke off prompts with it several
/// times in a row. Output for any prompt with the part ends the row, since the
/// engine survived it. Crashes at about the same time count once: engines also
/// fail together for reasons of their own.
///
/// Nodes tell each other what they see (TakeNews), so that all come to the same
/// result without a question for each request.
class PromptQuarantine {
 public:
  /// Records that an engine broke off a prompt with these parts before any
  /// output, and that other nodes are to be told.
  void OnBrokenOff(const EndpointProcess& engine,
                   const std::vector<PromptPartId>& parts, TimeMs now);
  /// Records output for a prompt with these parts.
  void OnOutput(const std::vector<PromptPartId>& parts, TimeMs now);
  /// Records what another node has told.
  void OnNews(const PromptPartNews& news, TimeMs now);

  /// Returns the part that is quarantined for longest, or nothing if none is.
  std::optional<QuarantinedPart> Find(const std::vector<PromptPartId>& parts,
                                      TimeMs now) const;

  /// Returns what the other nodes have to be told, and forgets that.
  PromptPartNews TakeNews();
  /// Returns the quarantined parts, as many as one message takes, for nodes
  /// that have missed earlier news.
  PromptPartNews Reminder(TimeMs now) const;
  /// Forgets parts that have not been seen for a long time.
  void Expire(TimeMs now);

  /// The number of parts remembered, quarantined or not.
  std::size_t size() const { return m_parts.size(); }

 private:
  struct Part {
    // The engine processes that broke off prompts with it since its last
    // output, and how many of these crashes count.
    std::vector<EndpointProcess> engines;
    std::uint32_t crashes = 0;
    TimeMs last_crash;
    std::optional<TimeMs> quarantined_until;
    // How often it was quarantined.
    std::uint32_t quarantines = 0;
    std::optional<TimeMs> cleared_at;
    TimeMs touched;
  };

  void AddCrash(const EndpointProcess& engine, const PromptPartId& id,
                TimeMs now);
  void Quarantine(const PromptPartId& id, Part& part, TimeMs now);
  void Adopt(const QuarantinedPart& quarantined, TimeMs now);
  // Returns whether the part was suspected or quarantined.
  bool Clear(const PromptPartId& id, TimeMs now);
  // Returns what is known of the part, which is new at first.
  Part& Touch(const PromptPartId& id, TimeMs now);
  void DropOldest();

  std::unordered_map<PromptPartId, Part> m_parts;
  PromptPartNews m_news;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUARANTINE_H_
