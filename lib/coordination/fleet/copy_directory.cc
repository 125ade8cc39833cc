#include "yuccamoor/coordination/fleet/copy_directory.h"

#include <algorithm>

#include "yuccamoor/coordination/fleet/two_choices.h"

namespace yuccamoor::fleet {

namespace {

// Each copy is asked to load or to confirm this often.
constexpr DurationMs kConfirmInterval{1'000};
// A copy that has not confirmed for this long may have been unloaded.
constexpr DurationMs kConfirmedLifetime{2'500};
// Copies that one request may ask for, so that the loads of an adapter that
// suddenly becomes popular are spread over its requests.
constexpr std::size_t kMaxAsksPerRequest = 2;

// Without requests for this long, an adapter may be loaded by its home again.
constexpr DurationMs kPassedOnLifetime{20'000};

// A home with more requests in flight than the average engine, by this factor,
// has its more popular adapters copied, and leaves loads to other engines.
constexpr double kBusyFactor = 1.4;
// Recent requests that make a copy worth its load.
constexpr double kMinRequestsWhenBusy = 1.5;

}  // namespace

bool CopyDirectory::IsBusy(const HomeRequest& request) {
  return request.mean_requests > 0 &&
         request.home_requests > request.mean_requests * kBusyFactor;
}

std::uint32_t CopyDirectory::DesiredCopies(const HomeRequest& request,
                                           TimeMs now) const {
  const std::uint32_t desired = m_popularity.DesiredCopies(
      request.adapter, request.engines, request.fleet_rate, now);
  const bool popular =
      m_popularity.RecentRequests(request.adapter, now) >= kMinRequestsWhenBusy;
  return IsBusy(request) && popular ? std::max<std::uint32_t>(desired, 2)
                                    : desired;
}

bool CopyDirectory::IsReady(const Copy& copy, TimeMs now) {
  return copy.confirmed && now - *copy.confirmed < kConfirmedLifetime;
}

// Returns the choice for an adapter that needs no copies. A home that would
// have to load it from the weight store leaves that to the next engine while it
// is busy, and later does not load it a second time.
CopyChoice CopyDirectory::ChooseSingle(const HomeRequest& request,
                                       const Ranking& ranking, TimeMs now) {
  CopyChoice choice;
  if (request.home_holds || request.home_held_lately) {
    m_passed_on.erase(request.adapter);
    return choice;
  }
  const auto known = m_passed_on.find(request.adapter);
  if (known == m_passed_on.end() && !IsBusy(request)) return choice;
  const std::vector<EndpointId> engines = ranking();
  if (engines.size() < 2) return choice;
  const bool usable = known != m_passed_on.end() &&
                      std::find(engines.begin(), engines.end(),
                                known->second.engine) != engines.end();
  const EndpointId engine = usable ? known->second.engine : engines[1];
  m_passed_on[request.adapter] = {engine, now};
  choice.choices = {engine};
  return choice;
}

CopyChoice CopyDirectory::OnRequest(const HomeRequest& request,
                                    const Ranking& ranking, TimeMs now) {
  m_popularity.AddRequests(request.adapter, 1, now);
  const std::uint32_t desired = DesiredCopies(request, now);
  if (desired <= 1) return ChooseSingle(request, ranking, now);
  CopyChoice choice;
  Copies& copies = m_copies[request.adapter];
  std::vector<EndpointId> ready;
  if (request.home_holds) ready.push_back(request.home);
  const std::vector<EndpointId> engines = ranking();
  const std::size_t last = std::min<std::size_t>(desired, engines.size());
  for (std::size_t i = 0; i < last; ++i) {
    if (engines[i] == request.home) continue;
    Copy& copy = copies[engines[i]];
    if (IsReady(copy, now)) ready.push_back(engines[i]);
    const bool due = !copy.asked || now - *copy.asked >= kConfirmInterval;
    if (!due || choice.to_load.size() >= kMaxAsksPerRequest) continue;
    copy.asked = now;
    choice.to_load.push_back(engines[i]);
  }
  // With copies, requests hardly wait for the home any more.
  if (!request.home_holds) choice.to_load.push_back(request.home);
  const bool only_home = ready.size() == 1 && request.home_holds;
  if (!only_home) choice.choices = ChooseTwo(ready, request.number);
  return choice;
}

void CopyDirectory::OnLoaded(const AdapterRef& adapter,
                             const EndpointId& engine, TimeMs now) {
  const auto copies = m_copies.find(adapter);
  if (copies == m_copies.end()) return;
  const auto copy = copies->second.find(engine);
  if (copy != copies->second.end()) copy->second.confirmed = now;
}

void CopyDirectory::Expire(TimeMs now) {
  m_popularity.Expire(now);
  for (auto& [adapter, copies] : m_copies) {
    std::erase_if(copies, [now](const auto& item) {
      const Copy& copy = item.second;
      return !copy.asked || now - *copy.asked > kConfirmedLifetime * 2;
    });
  }
  std::erase_if(m_copies, [](const auto& item) { return item.second.empty(); });
  std::erase_if(m_passed_on, [now](const auto& item) {
    return now - item.second.requested > kPassedOnLifetime;
  });
}

}  // namespace yuccamoor::fleet
