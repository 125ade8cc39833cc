/// \file
/// \brief Driver of the platform's list of VMs over HTTP.

#include "yuccamoor/transport/platform/http_vm_list.h"

#include <exception>
#include <utility>

#include "yuccamoor/protocol/platform/vm_list_codec.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

Awaitable<std::optional<std::vector<VmEntry>>> ReadOnce(HttpClient& client,
                                                        std::string address,
                                                        DurationMs timeout) {
  try {
    const std::optional<std::string> body =
        co_await GetBody(client, std::move(address), "/vms", timeout);
    if (!body) co_return std::nullopt;
    co_return DecodeVmList(*body);
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

}  // namespace

std::unique_ptr<HttpVmList> HttpVmList::Create(WorkerPool& pool,
                                               HttpClient& client,
                                               std::string address) {
  return std::unique_ptr<HttpVmList>(
      new HttpVmList(pool, client, std::move(address)));
}

HttpVmList::HttpVmList(WorkerPool& pool, HttpClient& client,
                       std::string address)
    : m_pool(pool), m_client(client), m_address(std::move(address)) {}

void HttpVmList::Read(DurationMs timeout, Callback done) {
  m_pool.Spawn([&client = m_client, address = m_address, timeout,
                done = std::move(done)]() -> Awaitable<void> {
    auto vms = co_await ReadOnce(client, address, timeout);
    done(std::move(vms));
  });
}

}  // namespace yuccamoor
