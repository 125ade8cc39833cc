/// \file
/// \brief Stand-in for the platform's lagging list of VMs.

#include "yuccamoor/standins/vm_list_stand_in.h"

#include "yuccamoor/protocol/platform/vm_list_codec.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr std::size_t kMaxVersions = 1000;

}  // namespace

VmListStandIn::VmListStandIn(DurationMs lag) : m_lag(lag) {
  m_versions.push_back(Version{TimeMs(), EncodeVmList({})});
}

Awaitable<void> VmListStandIn::Handle(HttpExchange& exchange) {
  if (co_await HandleFaults(exchange, m_faults)) co_return;
  if (exchange.request().method == "POST") {
    const bool known = Replace(exchange.request().body);
    co_await exchange.Send(
        JsonResponse(known ? kHttpOk : kHttpBadRequest, "{}"));
    co_return;
  }
  if (co_await HandleOutage(exchange, m_faults)) co_return;
  if (m_faults.TakeLostAnswer()) co_return;
  co_await exchange.Send(JsonResponse(kHttpOk, Lagged()));
}

bool VmListStandIn::Replace(const std::string& text) {
  const auto vms = DecodeVmList(text);
  if (!vms) return false;
  const std::lock_guard lock(m_mutex);
  m_versions.push_back(Version{m_clock.Now(), EncodeVmList(*vms)});
  if (m_versions.size() > kMaxVersions) m_versions.pop_front();
  return true;
}

std::string VmListStandIn::Lagged() {
  const std::lock_guard lock(m_mutex);
  const TimeMs visible = m_clock.Now() - m_lag;
  while (m_versions.size() > 1 && m_versions[1].since <= visible) {
    m_versions.pop_front();
  }
  return m_versions.front().json;
}

}  // namespace yuccamoor
