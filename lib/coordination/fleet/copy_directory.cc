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

CopyChoice CopyDirectory::OnRequest(const HomeRequest& request,
                                    const Ranking& ranking, TimeMs now) {
  m_popularity.AddRequests(request.adapter, 1, now);
  const std::uint32_t desired = DesiredCopies(request, now);
  CopyChoice choice;
  if (desired <= 1) {
    // A home that would have to load it leaves that to the next engine.
    const bool pass_on = IsBusy(request) && !request.home_holds;
    if (!pass_on) return choice;
    const std::vector<EndpointId> engines = ranking();
    if (engines.size() > 1) choice.choices = {engines[1]};
    return choice;
  }
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
}

}  // namespace yuccamoor::fleet
