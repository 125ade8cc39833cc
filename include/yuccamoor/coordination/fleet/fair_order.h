/// \file
/// \brief The order in which the prompts that wait for one engine are admitted,
/// with fair shares for their tenants.
///
/// Load pattern: the prompts of one tenant alone are more than its share of an
/// engine. By time left only, they would keep those of all other tenants
/// waiting until these are late.

#ifndef YUCCAMOOR_COORDINATION_FLEET_FAIR_ORDER_H_
#define YUCCAMOOR_COORDINATION_FLEET_FAIR_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/coordination/fleet/pending_prompt.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Start-time fair queueing by tenant inside a priority. Prompts that can still
/// be on time come first, then those of higher priority, then those of tenants
/// that have had little of the engine, then those with the least time left.
/// Prompts without a tenant share as those of one tenant do.
class FairOrder {
 public:
  using Prompts = std::vector<const PendingPrompt*>;

  /// Returns the positions of the waiting prompts in the order of their
  /// admission. Prompts that are equal in all respects keep their order.
  std::vector<std::size_t> Sort(const Prompts& waiting, TimeMs now) const;
  /// Counts an admitted prompt as its tenant's.
  void OnAdmitted(const PendingPrompt& prompt);
  /// Takes back OnAdmitted for a prompt that was not sent.
  void OnReturned(const PendingPrompt& prompt);
  /// Limits what is remembered: a tenant that has not waited gets little credit
  /// for that, and where nobody waits no tenant is owed anything.
  void Rebase(const Prompts& waiting, TimeMs now);

 private:
  /// The work that each tenant of a priority has had, in prompt tokens beyond
  /// those that one with the largest credit has had.
  using Leads = std::map<TenantId, std::int64_t>;

  std::int64_t LeadOf(const PendingPrompt& prompt) const;

  std::map<int, Leads> m_leads;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FAIR_ORDER_H_
