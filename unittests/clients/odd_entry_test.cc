/// \file
/// \brief Tests of a node whose store has entries that other programs wrote.

#include <catch2/catch.hpp>
#include <string>

#include "clients/node_under_test.h"
#include "support/platform_store.h"

namespace yuccamoor {
namespace {

constexpr int kOk = 200;
constexpr int kRequests = 20;

// Returns how many of some requests are served.
int CountServed(NodeUnderTest& node, const std::string& path) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    if (Ask(node.front_port(), RequestText(path)) == kOk) ++served;
  }
  return served;
}

// Starts a node whose store lists each entry on a page of its own, with one by
// another writer before the endpoint's. The list alone tells of the endpoint.
NodeUnderTest::Prepare OddEntry(const std::string& key) {
  return [key](PlatformStore& store) {
    store.SetPageSize(1);
    store.SetHeartbeat({});
    store.Put(key, "{}");
  };
}

}  // namespace

// Nodes that were started while such an entry stood served nothing: the next
// page's target held the entry's key as it is.
TEST_CASE("A node starts and serves beside an entry with any name",
          "[store][odd]") {
  const std::string name = GENERATE("a#b", "a%zz", "a b", "a\"b", "aä", "a&b",
                                    "a+b", "%7eb", "a\r\nb");
  CAPTURE(name);
  NodeUnderTest node(OddEntry("servers/" + name));
  CHECK(CountServed(node, kOrdinaryPath) == kRequests);
}

TEST_CASE("A node starts and serves beside an adapter's version with any name",
          "[store][odd]") {
  NodeUnderTest node([](PlatformStore& store) {
    OddEntry("servers/a")(store);
    store.Put("op/version/x y.a1",
              R"({"model":"x y","adapter":"a1","version":2})");
  });
  CHECK(CountServed(node, kOrdinaryPath) == kRequests);
}

}  // namespace yuccamoor
