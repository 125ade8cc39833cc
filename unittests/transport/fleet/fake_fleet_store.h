/// \file
/// \brief A store whose calls wait until a test answers them.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FAKE_FLEET_STORE_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FAKE_FLEET_STORE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/fleet/fleet_store.h"

namespace yuccamoor::fleet {

/// Keeps calls; tests take the callbacks and call them.
class FakeFleetStore final : public FleetStore {
 public:
  using ReadDone = std::function<void(StoreReadResult)>;

  void ListenForEras(std::function<void(StoreEra)> on_new_era) override {
    era_listener = std::move(on_new_era);
  }
  void ReadAll(ReadOptions options, ReadDone done) override {
    options_given.push_back(std::move(options));
    reads.push_back(std::move(done));
  }
  void Watch(Revision after, ReadOptions options, ReadDone done) override {
    options_given.push_back(std::move(options));
    watched_after.push_back(after);
    watches.push_back(std::move(done));
  }
  void GrantLease(DurationMs /*ttl*/,
                  std::function<void(LeaseReply)> done) override {
    grants.push_back(std::move(done));
  }
  void RenewLease(StoreLease lease, DurationMs /*timeout*/,
                  std::function<void(StoreStatus)> done) override {
    renewed.push_back(lease);
    renewals.push_back(std::move(done));
  }
  void EndLease(StoreLease /*lease*/,
                std::function<void(StoreStatus)> /*done*/) override {}
  void CreateRecord(std::string key, std::string value, StoreLease /*lease*/,
                    std::function<void(WriteReply)> done) override {
    created.push_back(key + "=" + value);
    writes.push_back(std::move(done));
  }
  void WriteRecord(std::string key, std::string value, StoreLease /*lease*/,
                   std::function<void(WriteReply)> done) override {
    written.push_back(key + "=" + value);
    writes.push_back(std::move(done));
  }
  void PutRecord(std::string key, std::string value, Revision /*expected*/,
                 std::function<void(WriteReply)> done) override {
    put.push_back(key + "=" + value);
    writes.push_back(std::move(done));
  }

  std::function<void(StoreEra)> era_listener;
  /// Of all reads and watches, in their order.
  std::vector<ReadOptions> options_given;
  std::vector<ReadDone> reads;
  std::vector<ReadDone> watches;
  std::vector<Revision> watched_after;
  std::vector<std::function<void(LeaseReply)>> grants;
  std::vector<StoreLease> renewed;
  std::vector<std::function<void(StoreStatus)>> renewals;
  std::vector<std::string> created;
  std::vector<std::string> written;
  std::vector<std::string> put;
  std::vector<std::function<void(WriteReply)>> writes;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FAKE_FLEET_STORE_H_
