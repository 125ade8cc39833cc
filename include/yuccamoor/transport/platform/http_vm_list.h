/// \file
/// \brief Driver of the platform's list of VMs over HTTP.

#ifndef YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_VM_LIST_H_
#define YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_VM_LIST_H_

#include <memory>
#include <string>

#include "yuccamoor/coordination/vm_list.h"

namespace yuccamoor {

class HttpClient;
class WorkerPool;

/// Reads the list by GET /vms.
class HttpVmList final : public VmList {
 public:
  /// The pool and the client must outlive the list. \p address is "ip:port".
  static std::unique_ptr<HttpVmList> Create(WorkerPool& pool,
                                            HttpClient& client,
                                            std::string address);

  void Read(DurationMs timeout, Callback done) override;

 private:
  HttpVmList(WorkerPool& pool, HttpClient& client, std::string address);

  WorkerPool& m_pool;
  HttpClient& m_client;
  std::string m_address;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_VM_LIST_H_
