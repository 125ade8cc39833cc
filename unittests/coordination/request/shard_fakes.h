/// \file
/// \brief A record with compare-and-swap, and a gateway that holds one shard
/// and logs what becomes of its requests.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SHARD_FAKES_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SHARD_FAKES_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/request/interning_codec.h"
#include "yuccamoor/coordination/request/idempotency_shard.h"

namespace yuccamoor {

/// A key-value service without faults.
class FakeRecords {
 public:
  KvReply Apply(const KvRequest& request) {
    KvReply reply;
    if (const auto* write = std::get_if<KvCompareAndSwap>(&request)) {
      KvEntry& entry = m_entries[write->key];
      if (entry.version != write->expected) {
        return Current(write->key, KvStatus::kConflict);
      }
      entry = {write->key, write->value, ++m_last_version};
      reply.status = KvStatus::kOk;
      reply.version = entry.version;
      return reply;
    }
    if (const auto* remove = std::get_if<KvDelete>(&request)) {
      const bool current = Find(remove->key).version == remove->expected;
      if (current) m_entries.erase(remove->key);
      reply.status = current ? KvStatus::kOk : KvStatus::kConflict;
      return reply;
    }
    return Current(std::get<KvGet>(request).key, KvStatus::kOk);
  }

  std::size_t size() const { return m_entries.size(); }

 private:
  /// Versions are never used again, also after a delete.
  struct VersionSource {
    std::uint64_t last = 0;
    KvVersion operator++() { return KvVersion(++last); }
  };

  KvEntry Find(const std::string& key) const {
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? KvEntry{} : found->second;
  }

  KvReply Current(const std::string& key, KvStatus status) const {
    KvReply reply;
    reply.status = status;
    const KvEntry entry = Find(key);
    if (entry.version != KvVersion(0)) {
      reply.entries.push_back(entry);
    } else if (status == KvStatus::kOk) {
      reply.status = KvStatus::kNotFound;
    }
    return reply;
  }

  VersionSource m_last_version;
  std::map<std::string, KvEntry> m_entries;
};

/// What became of the requests handed to one shard, as "request:end" words.
class ShardGateway {
 public:
  ShardGateway(const char* node, std::uint64_t salt,
               const InterningCodec& codec, FakeRecords& record,
               ShardOptions options = {})
      : m_record(record) {
    options.record_key = "shard/0";
    const ShardOwner owner{NodeId(node), Incarnation(5), salt};
    m_shard =
        std::move(IdempotencyShard::Create(options, owner, codec).value());
  }

  IdempotencyShard& shard() { return *m_shard; }
  std::vector<std::string>& log() { return m_log; }
  std::vector<ShardKvCall>& calls() { return m_calls; }

  void Take(const ShardActions& actions) {
    for (const ShardAction& action : actions) {
      if (const auto* call = std::get_if<ShardKvCall>(&action)) {
        m_calls.push_back(*call);
      } else if (const auto* run = std::get_if<ShardDispatch>(&action)) {
        m_log.push_back(run->request.str() + ":run");
      } else if (const auto* old = std::get_if<ShardReplay>(&action)) {
        m_log.push_back(old->request.str() + ":" + old->answer.body);
      } else if (const auto* no = std::get_if<ShardRefuse>(&action)) {
        m_log.push_back(no->request.str() + ":" +
                        std::string(ShardRefusalName(no->reason)) + "," +
                        std::string(OutcomeName(no->outcome)));
      }
    }
  }

  void Begin(const char* key, const char* request, std::uint64_t hash = 1,
             std::optional<DurationMs> ago = {}) {
    ShardBegin begin;
    begin.key = IdempotencyKey(key);
    begin.body_hash = BodyHash(hash);
    begin.request = RequestId(request);
    begin.first_sent_ago = ago;
    Take(m_shard->Begin(begin, m_now));
  }

  void Finish(const char* key, Outcome outcome, const char* body = "") {
    StoredAnswer answer;
    answer.body = body;
    Take(m_shard->Finish(IdempotencyKey(key), outcome, answer, m_now));
  }

  /// Answers the oldest call; with \p lost the effect stays and the answer
  /// does not come.
  void Answer(bool lost = false) {
    const ShardKvCall call = m_calls.front();
    m_calls.erase(m_calls.begin());
    KvReply reply = m_record.Apply(call.request);
    if (lost) reply = KvReply{};
    Take(m_shard->OnKvReply(call.number, reply, m_now));
  }

  void Fail(KvStatus status) {
    const ShardKvCall call = m_calls.front();
    m_calls.erase(m_calls.begin());
    KvReply reply;
    reply.status = status;
    Take(m_shard->OnKvReply(call.number, reply, m_now));
  }

  /// Lets time pass, answering every call.
  void Run(DurationMs time) {
    const TimeMs end = m_now + time;
    while (m_now < end) {
      m_now = m_now + DurationMs(5);
      Take(m_shard->Tick(m_now));
      while (!m_calls.empty()) Answer();
    }
  }

  void Pass(DurationMs time) {
    m_now = m_now + time;
    Take(m_shard->Tick(m_now));
  }

 private:
  FakeRecords& m_record;
  std::unique_ptr<IdempotencyShard> m_shard;
  TimeMs m_now{1'000};
  std::vector<std::string> m_log;
  std::vector<ShardKvCall> m_calls;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SHARD_FAKES_H_
