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

// Items of a list that cannot be read, as the store may send them.
std::string UnreadableItem() {
  return GENERATE(R"({"key":"servers/a\udcff","value":"","rev":1})",
                  "{\"key\":\"servers/a\xff\",\"value\":\"\",\"rev\":1}",
                  R"({"key":5,"value":"","rev":1})",
                  R"({"key":null,"value":"","rev":1})");
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

// The list was given up as a whole.
TEST_CASE("A node starts and serves beside an item that cannot be read",
          "[store][odd]") {
  const std::string item = UnreadableItem();
  CAPTURE(item);
  NodeUnderTest node([&item](PlatformStore& store) {
    store.SetHeartbeat({});
    store.PutItem("servers/a", item);
  });
  CHECK(CountServed(node, kOrdinaryPath) == kRequests);
}

// No later change was taken up.
TEST_CASE("A node follows the store past an item that cannot be read",
          "[store][odd]") {
  const std::string item = UnreadableItem();
  CAPTURE(item);
  NodeUnderTest node;
  node.store().PutItem("servers/a", item);
  node.WriteConfig(2, "/");
  CHECK(IsServed(node.front_port(), RequestText(kUnroutedPath)));
}

}  // namespace yuccamoor
