/// \file
/// \brief Tests of the member table.

#include "yuccamoor/coordination/membership/member_table.h"

#include <catch2/catch.hpp>

namespace yuccamoor {
namespace {

/// Keeps the fields that the tests tell members apart by.
class TextCodec final : public MemberCodec {
 public:
  std::string Encode(const Member& m) const override {
    return m.id.str() + ' ' + m.vm.str() + ' ' +
           std::to_string(m.incarnation.value());
  }
  std::optional<Member> Decode(const std::string& text) const override {
    const std::size_t first = text.find(' ');
    const std::size_t second = text.rfind(' ');
    if (first == std::string::npos || first == second) return std::nullopt;
    Member member;
    member.id = NodeId(text.substr(0, first));
    member.vm = VmId(text.substr(first + 1, second - first - 1));
    member.incarnation = Incarnation(std::stoull(text.substr(second + 1)));
    return member;
  }
};

Member MakeMember(const char* id, const char* vm, std::uint64_t incarnation) {
  Member member;
  member.id = NodeId(id);
  member.vm = VmId(vm);
  member.incarnation = Incarnation(incarnation);
  return member;
}

KvReply ListOf(const std::vector<std::string>& values) {
  KvReply reply;
  reply.status = KvStatus::kOk;
  std::uint64_t version = 0;
  for (const std::string& value : values) {
    const std::string id = value.substr(0, value.find(' '));
    reply.entries.push_back(
        KvEntry{MemberKey(NodeId(id)), value, KvVersion(++version)});
  }
  return reply;
}

std::vector<VmEntry> Vms(const std::vector<const char*>& ids) {
  std::vector<VmEntry> vms;
  vms.reserve(ids.size());
  for (const char* id : ids) {
    vms.push_back(VmEntry{VmId(id), FailureDomainId("d"), false});
  }
  return vms;
}

std::size_t LiveCount(const MemberTable& table, std::int64_t now_ms) {
  return table.Live(MemberRole::kGateway, TimeMs(now_ms)).size();
}

}  // namespace

TEST_CASE("A restarted process registers above its earlier life",
          "[membership]") {
  const TextCodec codec;
  MemberTable table(MakeMember("g1", "vm1", 5), codec);
  CHECK_FALSE(table.Registration().has_value());
  table.OnList(ListOf({"g1 vm1 9"}), TimeMs(0));
  const auto write = table.Registration();
  REQUIRE(write.has_value());
  const auto& cas = std::get<KvCompareAndSwap>(*write);
  CHECK(cas.value == "g1 vm1 10");
  CHECK(cas.expected == KvVersion(1));
  table.OnList(ListOf({"g1 vm1 10"}), TimeMs(0));
  CHECK_FALSE(table.Registration().has_value());
}

TEST_CASE("Members end only with their VM", "[membership]") {
  const TextCodec codec;
  MemberTableOptions options;
  options.gone_after = DurationMs(100);
  options.never_listed_after = DurationMs(1'000);
  MemberTable table(MakeMember("g1", "vm1", 1), codec, options);
  table.OnList(ListOf({"g1 vm1 1", "g2 vm2 1", "g3 vm3 1"}), TimeMs(0));

  SECTION("Without a list of VMs nobody is gone") {
    CHECK(LiveCount(table, 1'000'000) == 3);
  }
  SECTION("A VM that the list does not show yet is live") {
    table.OnVmList(Vms({"vm1", "vm2"}), TimeMs(0));
    CHECK(LiveCount(table, 999) == 3);
    CHECK(LiveCount(table, 1'000) == 2);
  }
  SECTION("A VM that left the list is gone after a while") {
    table.OnVmList(Vms({"vm1", "vm2", "vm3"}), TimeMs(0));
    table.OnVmList(Vms({"vm1", "vm3"}), TimeMs(50));
    CHECK(LiveCount(table, 149) == 3);
    CHECK(LiveCount(table, 150) == 2);
    REQUIRE(table.Cleanups(TimeMs(150)).size() == 1);
    CHECK(std::get<KvDelete>(table.Cleanups(TimeMs(150))[0]).key ==
          MemberKey(NodeId("g2")));
    table.OnVmList(Vms({"vm1", "vm2", "vm3"}), TimeMs(200));
    CHECK(LiveCount(table, 1'000'000) == 3);
  }
  SECTION("A failed list changes nothing") {
    KvReply failed;
    failed.status = KvStatus::kUnavailable;
    table.OnList(failed, TimeMs(0));
    CHECK(LiveCount(table, 0) == 3);
  }
  SECTION("The own entry is never taken for gone") {
    table.OnVmList(Vms({"vm1"}), TimeMs(0));
    table.OnVmList(Vms({"vm9"}), TimeMs(1));
    CHECK(LiveCount(table, 1'000'000) == 1);
  }
}

}  // namespace yuccamoor
