/// \file
/// \brief Mutated files and records never crash the readers, and what is
/// accepted survives the whole way into a snapshot.

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/config_segments.h"
#include "yuccamoor/protocol/config/config_files.h"
#include "yuccamoor/protocol/config/config_json.h"
#include "yuccamoor/protocol/config/config_message_codec.h"
#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kRounds = 20'000;

constexpr const char* kSeeds[] = {
    R"({"owner":"a","cells":{"c":{"model":"m","region":"r","workers":{"w":)"
    R"({"address":"10.0.0.1:1","failure_domain":"d","vm":"v"}},)"
    R"("weight_store":{"loads_per_second":2.5,"max_in_flight":8}}},)"
    R"("adapters":{"x":{"cell":"c","versions":["1","2"],"priority":"normal"}},)"
    R"("aliases":{"y":{"x@1":1,"x@2":3}}})",
    R"({"owner":"b","services":{"s":{"endpoints":{"e":{"address":"[::1]:2",)"
    R"("failure_domain":"d"}},"non_idempotent":[{"method":"POST",)"
    R"("path_prefix":"/pay"}],"timeout_ms":5,"requests_per_second":0.5}}})",
};

/// Pieces that mutations insert, chosen to hit the readers' edges.
constexpr const char* kPieces[] = {"{",
                                   "}",
                                   "[",
                                   "]",
                                   ",",
                                   ":",
                                   "\"",
                                   "null",
                                   "1e999",
                                   "-1",
                                   "18446744073709551616",
                                   "\\u0000",
                                   "\xff",
                                   "@",
                                   "true",
                                   "\"owner\":\"a\",",
                                   "{\"a\":",
                                   "0",
                                   "/",
                                   "~",
                                   "\"x@1\":1,"};

std::string Mutate(std::string text, pcg32& random) {
  const std::uint32_t changes = 1 + random(3);
  for (std::uint32_t i = 0; i < changes && !text.empty(); ++i) {
    const auto at = random(static_cast<std::uint32_t>(text.size()));
    const auto span = random(12);
    switch (random(4)) {
      case 0:
        text.erase(at, span);
        break;
      case 1:
        text.insert(at, kPieces[random(std::size(kPieces))]);
        break;
      case 2:
        text[at] = static_cast<char>(random(256));
        break;
      default:
        text.insert(
            at,
            text.substr(random(static_cast<std::uint32_t>(text.size())), span));
    }
  }
  return text;
}

/// Takes an accepted draft the whole way into a snapshot.
void CheckAccepted(const ConfigDraft& draft) {
  const JsonConfigCodec codec;
  for (const ConfigUnit& unit : draft.units) {
    const auto again =
        LoadConfigFiles({{"again.json", UnitToJson(unit).dump()}});
    REQUIRE(again.has_value());
    CHECK(UnitToJson(again.value().units.front()) == UnitToJson(unit));
  }
  ConfigUnits units;
  ApplyChange({draft, {}}, units);
  if (!CheckUnits(units).empty()) return;
  const EncodedConfig encoded =
      EncodeConfig(units, {}, Revision(1), PublisherId("p"), codec);
  ConfigSegments segments(codec);
  for (const SegmentNeed& need : segments.Missing(encoded.manifest)) {
    REQUIRE(segments.Add(need, encoded.segments.at(need.hash)));
  }
  const auto snapshot = segments.Assemble(encoded.manifest, Revision(1));
  for (const ConfigUnit& unit : draft.units) {
    for (const AdapterConfig& adapter : unit.adapters) {
      REQUIRE(snapshot->FindAdapter(adapter.id) != nullptr);
      CHECK(snapshot->FindAdapter(adapter.id)->versions == adapter.versions);
    }
    for (const AliasConfig& alias : unit.aliases) {
      CHECK(snapshot->Resolve(alias.name, "caller").has_value());
    }
  }
}

}  // namespace

TEST_CASE("Mutated files are refused with a place or accepted whole",
          "[config]") {
  pcg32 random(kSeed);
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = Mutate(kSeeds[random(2)], random);
    INFO(text);
    const auto draft = LoadConfigFiles({{"a.json", text}});
    if (draft.has_value()) {
      ++accepted;
      CheckAccepted(draft.value());
      continue;
    }
    REQUIRE_FALSE(draft.error().empty());
    for (const Finding& finding : draft.error()) {
      REQUIRE(finding.place.source == "a.json");
    }
  }
  CHECK(accepted > 0);
  CHECK(accepted < kRounds / 2);
}

TEST_CASE("Mutated records never throw", "[config]") {
  const JsonConfigCodec codec;
  RootRecord root;
  root.current = {Revision(2), SegmentHash("h"), PublisherId("p"),
                  PublisherNonce("n")};
  root.history = {root.current};
  const Manifest manifest{{{OwnerId("o"), SegmentHash("d"), SegmentHash("s"),
                            Revision(1), PublisherId("p")}},
                          {{0, SegmentHash("b")}}};
  AdapterConfig adapter;
  adapter.id = AdapterId("x");
  adapter.versions = {VersionId("1")};
  const std::string records[] = {
      codec.EncodeRoot(root), codec.EncodeManifest(manifest),
      codec.EncodeAdapters({adapter}),
      codec.EncodeUnit(
          LoadConfigFiles({{"a.json", kSeeds[0]}}).value().units.front())};
  pcg32 random(kSeed);
  for (int i = 0; i < kRounds; ++i) {
    const std::string bytes = Mutate(records[random(4)], random);
    INFO(bytes);
    const auto decoded = codec.DecodeRoot(bytes);
    if (decoded.has_value()) {
      CHECK(codec.DecodeRoot(codec.EncodeRoot(decoded.value())).value() ==
            decoded.value());
    }
    static_cast<void>(codec.DecodeManifest(bytes));
    static_cast<void>(codec.DecodeUnit(bytes));
    static_cast<void>(codec.DecodeAdapters(bytes));
    static_cast<void>(DecodeConfigAnnounce(bytes));
    static_cast<void>(DecodeConfigFetch(bytes));
    static_cast<void>(DecodeConfigBlobs(bytes));
  }
}

TEST_CASE("Messages between daemons survive a round trip", "[config]") {
  ConfigAnnounce announce{NodeId("n"), "10.0.0.1:1",     FailureDomainId("d"),
                          Revision(7), SegmentHash("h"), DurationMs(12)};
  CHECK(DecodeConfigAnnounce(EncodeConfigAnnounce(announce)).value() ==
        announce);
  announce.confirmed_age.reset();
  CHECK(DecodeConfigAnnounce(EncodeConfigAnnounce(announce)).value() ==
        announce);
  const ConfigFetch fetch{{SegmentHash("a"), SegmentHash("b")}};
  CHECK(DecodeConfigFetch(EncodeConfigFetch(fetch)).value() == fetch);
  const ConfigBlobs blobs{{{SegmentHash("a"), "{\"x\":1}"}}};
  CHECK(DecodeConfigBlobs(EncodeConfigBlobs(blobs)).value() == blobs);
}

}  // namespace yuccamoor
