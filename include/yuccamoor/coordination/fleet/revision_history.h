/// \file
/// \brief The published versions of one adapter, and which of them may still be
/// served.

#ifndef YUCCAMOOR_COORDINATION_FLEET_REVISION_HISTORY_H_
#define YUCCAMOOR_COORDINATION_FLEET_REVISION_HISTORY_H_

#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Returns the time within which a node in contact with the store, or with one
/// that reads for it, learns of a change: a pause between two watches, or the
/// wait for a reader that is gone.
DurationMs MaxLearningTime(DurationMs max_propagation_delay);

/// How long a version may be used after a node learned of a newer one.
struct RevisionTimes {
  /// Requests may be sent to it for this long.
  DurationMs send{2'000};
  /// Requests that were sent to it may begin for this long.
  DurationMs begin{3'750};

  /// Returns the times with which no request begins on a version later than
  /// \p max_age after a newer one was published, if nodes learn of that within
  /// MaxLearningTime.
  static RevisionTimes For(DurationMs max_age,
                           DurationMs max_propagation_delay);
};

/// Remembers when each version became known. A version is superseded as soon as
/// any newer one is known, whatever is published after that.
class RevisionHistory {
 public:
  /// Adds a version that became known at \p learned_at. Returns whether it is
  /// newer than all before; others change nothing.
  bool Learn(AdapterRevision revision, TimeMs learned_at);

  /// The newest version; zero if none is known.
  AdapterRevision newest() const;
  /// How long the newest version has been known; zero if none is known.
  DurationMs NewestAge(TimeMs now) const;
  /// The least version that was not yet superseded \p ago before \p now. Zero,
  /// which any version exceeds, if none was known then.
  AdapterRevision LeastAt(TimeMs now, DurationMs ago) const;

 private:
  struct Known {
    AdapterRevision revision;
    TimeMs learned_at;
  };

  // Ascending, both by version and by time.
  std::vector<Known> m_known;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_REVISION_HISTORY_H_
