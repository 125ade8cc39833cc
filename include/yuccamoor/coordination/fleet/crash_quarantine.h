/// \file
/// \brief Finds what crashes endpoints, parts of prompts and whole requests,
/// and keeps it from further endpoints.

#ifndef YUCCAMOOR_COORDINATION_FLEET_CRASH_QUARANTINE_H_
#define YUCCAMOOR_COORDINATION_FLEET_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/fleet/crash_series.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/crash_suspect.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// A suspect in quarantine, for how much longer.
struct QuarantinedSuspect {
  CrashSuspect suspect;
  DurationMs remaining{0};
};

/// A run without output that its endpoint broke off.
struct BrokenRun {
  CrashSuspect suspect;
  /// How long the endpoint had had it.
  DurationMs ran{0};
  /// The digest of the request that ran; empty if it is not known.
  std::string request;

  friend auto operator<=>(const BrokenRun&, const BrokenRun&) = default;
};

/// What nodes tell each other about suspects.
struct CrashNews {
  std::map<EndpointProcess, std::vector<BrokenRun>> broken_off;
  /// Suspects that have got output.
  std::vector<CrashSuspect> cleared;
  std::vector<QuarantinedSuspect> quarantined;

  bool empty() const {
    return broken_off.empty() && cleared.empty() && quarantined.empty();
  }
};

/// The suspects, quarantined or not, as one node knows them.
///
/// An endpoint that crashes breaks off many runs, and one of them may be the
/// cause. A suspect is quarantined when endpoints broke off runs of it several
/// times in a row. Output for any run of it ends the row, since the endpoint
/// survived it. Endpoints also fail together for reasons of their own. So
/// crashes under a part of prompts count once if they come at about the same
/// time. Crashes under a request count separately if it was sent after the one
/// before: a request that is repeated at once crashes all endpoints sooner than
/// that.
///
/// A request that crashes endpoints by itself has parts in common with sound
/// ones. So crashes that the same request explains count once for the parts of
/// its prompt.
///
/// Nodes tell each other what they see (TakeNews), so that all come to the same
/// result without a question for each request.
class CrashQuarantine {
 public:
  /// Records that an endpoint broke off, before any output, what it had been
  /// sent \p ran before, and that other nodes are to be told.
  void OnBrokenOff(const EndpointProcess& endpoint,
                   const std::vector<CrashSuspect>& suspects, DurationMs ran,
                   TimeMs now);
  /// Records an endpoint's output for a request with these suspects.
  void OnOutput(const EndpointProcess& endpoint,
                const std::vector<CrashSuspect>& suspects, TimeMs now);
  /// Records what another node has told.
  void OnNews(const CrashNews& news, TimeMs now);

  /// Whether nothing is suspected or quarantined.
  bool empty() const { return m_records.empty(); }
  /// Returns the suspect that is quarantined for longest, or nothing if none
  /// is.
  std::optional<QuarantinedSuspect> Find(
      const std::vector<CrashSuspect>& suspects, TimeMs now) const;
  /// Whether endpoints broke off the request a short time ago and, without
  /// output in between, a different one that shares a part of its prompt: a
  /// repeat may crash a further endpoint, and would tell nothing new.
  bool IsDoubtfulRepeat(const std::vector<CrashSuspect>& suspects,
                        TimeMs now) const;
  /// The endpoint processes that broke off runs of the suspect since its last
  /// output, whether they count or not, if the last one did a short time ago.
  std::size_t RecentlyBrokenOff(const CrashSuspect& suspect, TimeMs now) const;
  /// Whether the endpoint broke off runs a short time ago, without output
  /// since: it may have crashed and not be back yet.
  bool MayHaveEnded(const EndpointProcess& endpoint, TimeMs now) const;

  /// Returns what the other nodes have to be told, and forgets that.
  CrashNews TakeNews();
  /// Returns the quarantined suspects, as many as one message takes, for nodes
  /// that have missed earlier news.
  CrashNews Reminder(TimeMs now) const;
  /// Forgets suspects that have not been seen for a long time.
  void Expire(TimeMs now);

  /// The number of suspects remembered, quarantined or not.
  std::size_t size() const { return m_records.size(); }

 private:
  struct Record {
    // Since its last output.
    CrashSeries series;
    TimeMs last_crash;
    TimeMs last_broken_off;
    std::optional<TimeMs> quarantined_until;
    // How often it was quarantined.
    std::uint32_t quarantines = 0;
    std::optional<TimeMs> cleared_at;
    TimeMs touched;
  };

  void AddCrash(const EndpointProcess& endpoint, const BrokenRun& run,
                TimeMs now);
  // Whether a crash under the run is one event with the last one that counted.
  static bool IsSameEvent(const Record& record, const BrokenRun& run,
                          TimeMs now);
  // Whether the suspect is a part of the prompt of a request that is known to
  // crash endpoints by itself.
  bool IsExplained(const BrokenRun& run) const;
  // How many crashes speak against the suspect.
  static std::size_t Evidence(const CrashSuspect& suspect,
                              const Record& record);
  void Quarantine(const CrashSuspect& suspect, Record& record, TimeMs now);
  void Adopt(const QuarantinedSuspect& quarantined, TimeMs now);
  // Returns whether the suspect was suspected or quarantined.
  bool Clear(const CrashSuspect& suspect, TimeMs now);
  // Returns what is known of the suspect, which is new at first.
  Record& Touch(const CrashSuspect& suspect, TimeMs now);
  void DropOldest();

  std::map<CrashSuspect, Record> m_records;
  // When endpoint processes last broke off runs, without output since.
  std::map<EndpointProcess, TimeMs> m_broken_off;
  CrashNews m_news;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_CRASH_QUARANTINE_H_
