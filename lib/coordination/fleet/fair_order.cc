#include "yuccamoor/coordination/fleet/fair_order.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>

namespace yuccamoor::fleet {

namespace {

// What a request takes of an engine beside its prompt, in prompt tokens.
constexpr std::int64_t kTokensPerRequest = 400;
// Tenants whose leads differ by less than about this many prompt tokens go by
// time left, so that sharing makes no prompt late while there is room for all.
constexpr std::int64_t kEqualLeadTokens = 2'000;
// What a tenant may catch up that has had less than others, in prompt tokens.
// Its prompts come in bursts: without this, what it leaves to others between
// them would be lost to it.
constexpr std::int64_t kMostCreditTokens = 8'000;

std::int64_t WorkOf(const PendingPrompt& prompt) {
  return kTokensPerRequest + prompt.tokens;
}

bool IsLate(const PendingPrompt& prompt, TimeMs now) {
  return now > prompt.send_by;
}

struct RankedPrompt {
  std::size_t position = 0;
  const PendingPrompt* prompt = nullptr;
  bool late = false;
  // The tenant's lead when the prompt's turn comes, in kEqualLeadTokens.
  std::int64_t lead_steps = 0;
};

}  // namespace

std::int64_t FairOrder::LeadOf(const PendingPrompt& prompt) const {
  const auto leads = m_leads.find(prompt.priority);
  if (leads == m_leads.end()) return 0;
  const auto lead = leads->second.find(prompt.tenant);
  return lead == leads->second.end() ? 0 : lead->second;
}

std::vector<std::size_t> FairOrder::Sort(const Prompts& waiting,
                                         TimeMs now) const {
  std::vector<RankedPrompt> ranked;
  ranked.reserve(waiting.size());
  for (const PendingPrompt* prompt : waiting) {
    ranked.push_back({ranked.size(), prompt, IsLate(*prompt, now), 0});
  }
  const auto by_tenant = [](const RankedPrompt& a, const RankedPrompt& b) {
    return std::tie(a.prompt->priority, a.prompt->tenant, a.late,
                    a.prompt->send_by) < std::tie(b.prompt->priority,
                                                  b.prompt->tenant, b.late,
                                                  b.prompt->send_by);
  };
  std::stable_sort(ranked.begin(), ranked.end(), by_tenant);
  const PendingPrompt* previous = nullptr;
  std::int64_t lead = 0;
  for (RankedPrompt& item : ranked) {
    const bool same_tenant = previous &&
                             previous->priority == item.prompt->priority &&
                             previous->tenant == item.prompt->tenant;
    lead = same_tenant ? lead + WorkOf(*previous) : LeadOf(*item.prompt);
    item.lead_steps = lead / kEqualLeadTokens;
    previous = item.prompt;
  }
  const auto by_turn = [](const RankedPrompt& a, const RankedPrompt& b) {
    return std::tie(a.late, a.prompt->priority, a.lead_steps,
                    a.prompt->send_by) < std::tie(b.late, b.prompt->priority,
                                                  b.lead_steps,
                                                  b.prompt->send_by);
  };
  std::stable_sort(ranked.begin(), ranked.end(), by_turn);
  std::vector<std::size_t> order;
  order.reserve(ranked.size());
  for (const RankedPrompt& item : ranked) order.push_back(item.position);
  return order;
}

void FairOrder::OnAdmitted(const PendingPrompt& prompt) {
  m_leads[prompt.priority][prompt.tenant] += WorkOf(prompt);
}

void FairOrder::OnReturned(const PendingPrompt& prompt) {
  const auto leads = m_leads.find(prompt.priority);
  if (leads == m_leads.end()) return;
  const auto lead = leads->second.find(prompt.tenant);
  if (lead == leads->second.end()) return;
  lead->second -= WorkOf(prompt);
  if (lead->second <= 0) leads->second.erase(lead);
}

void FairOrder::Rebase(const Prompts& waiting, TimeMs now) {
  for (auto it = m_leads.begin(); it != m_leads.end();) {
    auto& [priority, leads] = *it;
    // Late prompts let others pass; this earns their tenants nothing.
    std::optional<std::int64_t> least;
    std::optional<std::int64_t> least_late;
    for (const PendingPrompt* prompt : waiting) {
      if (prompt->priority != priority) continue;
      const std::int64_t lead = LeadOf(*prompt);
      auto& bound = IsLate(*prompt, now) ? least_late : least;
      bound = std::min(bound.value_or(lead), lead);
    }
    const auto base = least ? least : least_late;
    if (!base) {
      it = m_leads.erase(it);
      continue;
    }
    const std::int64_t cut =
        std::max<std::int64_t>(*base - kMostCreditTokens, 0);
    for (auto& [tenant, lead] : leads) lead -= cut;
    std::erase_if(leads, [](const auto& item) { return item.second <= 0; });
    it = leads.empty() ? m_leads.erase(it) : std::next(it);
  }
}

}  // namespace yuccamoor::fleet
