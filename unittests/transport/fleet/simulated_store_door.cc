#include "transport/fleet/simulated_store_door.h"

#include <utility>
#include <vector>

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kCallTimeout{700};
// The slowest way of a call to the store, and of its answer back.
constexpr std::int64_t kSlowestMs = 20;
// One answer in so many is lost.
constexpr std::int64_t kAnswersPerLoss = 50;

StoreReadResult ResultOf(const SimulatedFleetStore& store,
                         std::vector<StoreChange> changes) {
  StoreReadResult result;
  result.status = StoreStatus::kOk;
  result.era = store.era();
  result.read_revision = store.revision();
  result.changes = std::move(changes);
  return result;
}

}  // namespace

SimulatedStoreDoor::SimulatedStoreDoor(SimulatedWorld& world, NodeId node)
    : m_world(world), m_node(std::move(node)) {}

void SimulatedStoreDoor::ListenForEras(
    std::function<void(StoreEra)> on_new_era) {
  m_on_new_era = std::move(on_new_era);
}

void SimulatedStoreDoor::ReadAll(ReadOptions /*options*/,
                                 std::function<void(StoreReadResult)> done) {
  Call(
      [done](SimulatedFleetStore& store) {
        const StoreReadResult result = ResultOf(store, store.All());
        return [done, result] { done(result); };
      },
      [done] { done({}); });
}

void SimulatedStoreDoor::Watch(Revision after, ReadOptions /*options*/,
                               std::function<void(StoreReadResult)> done) {
  Call(
      [after, done](SimulatedFleetStore& store) {
        const StoreReadResult result = ResultOf(store, store.After(after));
        return [done, result] { done(result); };
      },
      [done] { done({}); });
}

void SimulatedStoreDoor::GrantLease(DurationMs ttl,
                                    std::function<void(LeaseReply)> done) {
  Call(
      [node = m_node, ttl, done](SimulatedFleetStore& store) {
        const LeaseReply reply{StoreStatus::kOk, store.Grant(node, ttl)};
        return [done, reply] { done(reply); };
      },
      [done] { done({}); });
}

void SimulatedStoreDoor::RenewLease(StoreLease lease, DurationMs /*timeout*/,
                                    std::function<void(StoreStatus)> done) {
  Call(
      [lease, done](SimulatedFleetStore& store) {
        const StoreStatus status =
            store.Renew(lease) ? StoreStatus::kOk : StoreStatus::kLeaseEnded;
        return [done, status] { done(status); };
      },
      [done] { done(StoreStatus::kUnknown); });
}

void SimulatedStoreDoor::EndLease(StoreLease /*lease*/,
                                  std::function<void(StoreStatus)> /*done*/) {}

void SimulatedStoreDoor::CreateRecord(std::string key, std::string value,
                                      StoreLease lease,
                                      std::function<void(WriteReply)> done) {
  Write(key, value, lease, false, done);
}

void SimulatedStoreDoor::WriteRecord(std::string key, std::string value,
                                     StoreLease lease,
                                     std::function<void(WriteReply)> done) {
  Write(key, value, lease, true, done);
}

void SimulatedStoreDoor::PutRecord(std::string /*key*/, std::string /*value*/,
                                   Revision /*expected*/,
                                   std::function<void(WriteReply)> /*done*/) {}

void SimulatedStoreDoor::Write(const std::string& key, const std::string& value,
                               StoreLease lease, bool may_exist,
                               const std::function<void(WriteReply)>& done) {
  Call(
      [key, value, lease, may_exist, done](SimulatedFleetStore& store) {
        const WriteReply reply = store.Write(key, value, lease, may_exist);
        return [done, reply] { done(reply); };
      },
      [done] { done({}); });
}

void SimulatedStoreDoor::Call(
    const std::function<Answer(SimulatedFleetStore&)>& effect,
    const Answer& lost) {
  SimulatedWorld& world = m_world;
  const std::weak_ptr<bool> alive = m_alive;
  const auto arrive = [this, &world, alive, node = m_node, effect, lost] {
    const bool served = world.store.Serves(node);
    const StoreEra era = world.store.era();
    const Answer answer = served ? effect(world.store) : lost;
    if (alive.expired()) return;
    if (served && world.Draw(1, kAnswersPerLoss) != 1) {
      AnswerAfter(DurationMs(world.Draw(1, kSlowestMs)), era, answer, lost);
    } else {
      AnswerAfter(kCallTimeout, m_era, lost, lost);
    }
  };
  world.schedule.After(DurationMs(world.Draw(1, kSlowestMs)), arrive);
}

void SimulatedStoreDoor::AnswerAfter(DurationMs time, StoreEra era,
                                     const Answer& answer, const Answer& lost) {
  const std::weak_ptr<bool> alive = m_alive;
  m_world.schedule.After(time, [this, alive, era, answer, lost] {
    if (alive.expired()) return;
    const Answer& taken = IsCurrent(era) ? answer : lost;
    taken();
  });
}

bool SimulatedStoreDoor::IsCurrent(StoreEra era) {
  if (era <= m_era) return era == m_era;
  const bool is_first = m_era == StoreEra();
  m_era = era;
  if (!is_first && m_on_new_era) m_on_new_era(era);
  return true;
}

}  // namespace yuccamoor::fleet
