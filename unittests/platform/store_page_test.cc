/// \file
/// \brief Tests of pages of the store with items that cannot be read.

#include "platform/store_page.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "yuccamoor/protocol/request/base64.h"

namespace yuccamoor::platform {
namespace {

constexpr char kEntry[] =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":64,
        "state":"ready"})";

// Returns an item of the form in which the store sends a sound entry.
std::string Item(const std::string& key, const std::string& value) {
  return R"({"key":")" + key + R"(","value":")" + EncodeBase64(value) +
         R"(","rev":7,"created-rev":7,"lease":0})";
}

std::string Page(const std::vector<std::string>& items, bool has_more) {
  std::string text = R"({"items":[)";
  for (const std::string& item : items) text += item + ",";
  text.pop_back();
  return text + R"(],"more-pages":)" + (has_more ? "true" : "false") +
         R"(,"as-of":9})";
}

/// What was told of unreadable items.
struct Problems {
  std::vector<std::string> keys;
  std::string findings;

  Result<StorePage> Decode(const std::string& body) {
    return DecodeStorePage(body, StoreList::kItems, fleet::StoreEra(1),
                           [this](std::string_view key, const Findings& found) {
                             keys.emplace_back(key);
                             findings += found.ToString();
                           });
  }
};

std::vector<std::string> EndpointsOf(const StorePage& page) {
  std::vector<std::string> ids;
  for (const fleet::StoreChange& change : page.changes) {
    const auto* written = std::get_if<fleet::EndpointWritten>(&change);
    if (written) ids.push_back(written->entry.id.str());
  }
  return ids;
}

}  // namespace

// The page was given up as a whole, again and again.
TEST_CASE("An item that cannot be read is given up alone",
          "[platform][page][odd]") {
  const std::string odd = GENERATE(
      Item("servers/\xff", "{}"), Item("servers/\\udcff", "{}"),
      Item("servers/\\ud800", "{}"), Item("servers/a\nb", "{}"),
      R"({"key":5,"value":"","rev":1})", R"({"key":null,"value":"","rev":1})",
      R"({"value":"","rev":1})", "null", "7", R"("servers/e3")", "[]", "{}",
      R"({"key":"servers/e3","removed":"yes","rev":1})",
      R"({"key":"servers/e3","removed":null,"rev":1})",
      R"({"key":"servers/e3","value":"\xff","rev":1})",
      "{\"key\":\"servers/e3\",\"value\":\"\xff\",\"rev\":1}",
      R"({"key":"servers/e3","value":"","rev":1e999})",
      R"({"key":"yuccamoor/node/n1","value":"eA==","rev":"new"})",
      R"({"key":"yuccamoor/node/n1","value":7,"rev":1})",
      R"({"key":"servers/e3","lease":)" + std::string(99, '[') +
          std::string(99, ']') + "}");
  CAPTURE(odd);
  Problems problems;
  const auto page = problems.Decode(Page(
      {Item("servers/e1", kEntry), odd, Item("servers/e2", kEntry)}, false));
  REQUIRE(page);
  CHECK(EndpointsOf(page.value()) == std::vector<std::string>{"e1", "e2"});
  CHECK(page.value().as_of == Revision(9));
  CHECK(problems.keys.size() == 1);
}

TEST_CASE("An endpoint whose item cannot be read is removed",
          "[platform][page][odd]") {
  const std::string odd =
      GENERATE(std::string(R"({"key":"servers/e1","removed":1,"rev":8})"),
               std::string("{\"key\":\"servers/e1\",\"value\":\"\xff\"}"));
  Problems problems;
  const auto page = problems.Decode(Page({odd}, false));
  REQUIRE(page);
  REQUIRE(page.value().changes.size() == 1);
  CHECK(std::get<fleet::EndpointRemoved>(page.value().changes[0]).id ==
        EndpointId("e1"));
}

TEST_CASE("The next page begins after the last key that can be read",
          "[platform][page][odd]") {
  Problems problems;
  const auto next = [&](const std::string& last) {
    return problems.Decode(Page({Item("servers/a", kEntry), last}, true))
        .value()
        .next_after.value_or("");
  };
  CHECK(next(Item("servers/b", kEntry)) == "servers/b");
  CHECK(next(Item("servers/b#", "{}")) == "servers/b#");
  // Not every store takes a key that is no text.
  CHECK(next(Item("servers/\xff", "{}")) == "servers/a");
  CHECK(next(Item("servers/\\udcff", "{}")) == "servers/a");
  CHECK(next(R"({"key":5})") == "servers/a");
  CHECK(next("null") == "servers/a");
  const auto after_only = [&](const std::string& item) {
    return problems.Decode(Page({item}, true)).value().next_after;
  };
  CHECK(after_only(Item("servers/\xff", "{}")) == "servers/\xff");
  CHECK(after_only(Item("servers/\\udcff", "{}")) == "servers/\xff");
  CHECK_FALSE(problems.Decode(Page({"null"}, true)));
}

TEST_CASE("Events have no further pages", "[platform][page]") {
  const auto page = DecodeStorePage(
      R"({"events":[],"as-of":9,"more-pages":"?"})", StoreList::kEvents,
      fleet::StoreEra(1), [](std::string_view, const Findings&) {});
  REQUIRE(page);
  CHECK(page.value().as_of == Revision(9));
}

TEST_CASE("A body without a list, a revision or a sound end is no page",
          "[platform][page][odd]") {
  Problems problems;
  for (const char* body :
       {"", "[]", R"({"items":{},"as-of":9})", R"({"items":null,"as-of":9})",
        R"({"items":[]})", R"({"items":[],"as-of":"x"})",
        R"({"items":[],"as-of":9,"more-pages":7})",
        R"({"items":[],"as-of":9)"}) {
    CAPTURE(body);
    CHECK_FALSE(problems.Decode(body));
  }
}

}  // namespace yuccamoor::platform
