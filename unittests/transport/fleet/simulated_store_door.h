/// \file
/// \brief One process's way to a simulated store.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_STORE_DOOR_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_STORE_DOOR_H_

#include <functional>
#include <memory>
#include <string>

#include "transport/fleet/simulated_world.h"

namespace yuccamoor::fleet {

/// Calls take effect a moment after they are made, and are answered a moment
/// later; some answers are lost. Calls of a process that has ended still take
/// effect, unanswered.
class SimulatedStoreDoor final : public FleetStore {
 public:
  SimulatedStoreDoor(SimulatedWorld& world, NodeId node);

  void ListenForEras(std::function<void(StoreEra)> on_new_era) override;
  void ReadAll(ReadOptions options,
               std::function<void(StoreReadResult)> done) override;
  void Watch(Revision after, ReadOptions options,
             std::function<void(StoreReadResult)> done) override;
  void GrantLease(DurationMs ttl,
                  std::function<void(LeaseReply)> done) override;
  void RenewLease(StoreLease lease, DurationMs timeout,
                  std::function<void(StoreStatus)> done) override;
  /// Not simulated; never answered.
  void EndLease(StoreLease lease,
                std::function<void(StoreStatus)> done) override;
  void CreateRecord(std::string key, std::string value, StoreLease lease,
                    std::function<void(WriteReply)> done) override;
  void WriteRecord(std::string key, std::string value, StoreLease lease,
                   std::function<void(WriteReply)> done) override;
  /// Not simulated; never answered.
  void PutRecord(std::string key, std::string value, Revision expected,
                 std::function<void(WriteReply)> done) override;

 private:
  using Answer = std::function<void()>;

  void Write(const std::string& key, const std::string& value, StoreLease lease,
             bool may_exist, const std::function<void(WriteReply)>& done);
  // Makes a call. What \p effect returns brings its answer, and \p lost tells
  // that there is none.
  void Call(const std::function<Answer(SimulatedFleetStore&)>& effect,
            const Answer& lost);
  void AnswerAfter(DurationMs time, StoreEra era, const Answer& answer,
                   const Answer& lost);
  // Takes up the era of an answer. Returns false if it is over.
  bool IsCurrent(StoreEra era);

  SimulatedWorld& m_world;
  NodeId m_node;
  StoreEra m_era;
  std::function<void(StoreEra)> m_on_new_era;
  // Ends with the process.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_STORE_DOOR_H_
