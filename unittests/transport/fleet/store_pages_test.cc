/// \file
/// \brief Tests of reading a list that the store sends in pages.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "platform/store_client.h"
#include "support/platform_store.h"
#include "yuccamoor/state/fleet/boot_clock.h"
#include "yuccamoor/transport/fleet/http_caller.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor::fleet {
namespace {

// More than any list of these tests has.
constexpr std::size_t kMaxPages = 100;

/// A store and a client of it.
class StoreReader {
 public:
  StoreReader()
      : m_pool(1),
        m_store(m_pool),
        m_kept(m_io, m_clock),
        m_caller(m_io, m_clock, m_kept),
        m_client(m_caller, {"127.0.0.1", m_store.port()},
                 [this](std::string_view, const Findings& findings) {
                   m_problems += findings.ToString();
                 }) {
    m_pool.Start();
  }
  ~StoreReader() { m_pool.Stop(); }
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  /// Reads everything. Returns nothing if that takes very many pages.
  std::optional<StoreReadResult> ReadAll() {
    std::optional<StoreReadResult> result;
    ReadOptions options;
    options.timeout = DurationMs(600'000);
    m_client.ReadAll(options, [&result](StoreReadResult read) {
      result.emplace(std::move(read));
    });
    while (!result && m_store.pages_read() < kMaxPages) {
      m_io.restart();
      m_io.run_for(std::chrono::milliseconds(5));
    }
    return result;
  }

  PlatformStore& store() { return m_store; }
  const std::string& problems() const { return m_problems; }

 private:
  WorkerPool m_pool;
  PlatformStore m_store;
  boost::asio::io_context m_io;
  BootClock m_clock;
  KeptBytes m_kept;
  HttpCaller m_caller;
  platform::StoreClient m_client;
  std::string m_problems;
};

constexpr char kRecord[] = "yuccamoor/node/n1";

}  // namespace

// An entry was read twice, or those after it were passed over.
TEST_CASE("Each entry of a list is read once, whatever the names",
          "[fleet][store][odd]") {
  const std::string name = GENERATE("a#b", "a%zz", "a%", "a b", "a\tb", "a\"b",
                                    "aä", "a&b", "a+b", "%7eb", "a\r\nb");
  CAPTURE(name);
  StoreReader reader;
  reader.store().SetPageSize(1);
  reader.store().Put("op/version/" + name, R"({"model":"m","version":2})");
  reader.store().Put("servers/" + name, "{}");
  reader.store().Put("servers/b", "{}");
  reader.store().Put(kRecord, "x");
  const auto result = reader.ReadAll();
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kOk);
  CHECK(result->changes.size() == 4);
  CHECK(reader.store().pages_read() == 4);
}

// Where a page has no other key, there is no way around such a one.
TEST_CASE("A list goes on after an entry whose key is no text",
          "[fleet][store][odd]") {
  const std::string key = GENERATE("servers/a\xff", "servers/a\\udcff");
  CAPTURE(key);
  StoreReader reader;
  reader.store().SetPageSize(1);
  reader.store().PutItem("servers/a\xff",
                         "{\"key\":\"" + key + "\",\"value\":\"\"}");
  reader.store().Put("servers/b", "{}");
  reader.store().Put(kRecord, "x");
  const auto result = reader.ReadAll();
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kOk);
  CHECK(result->changes.size() == 3);
  CHECK(reader.store().pages_read() == 3);
}

// The log named the reason only, and an unreadable entry as if it were that.
TEST_CASE("A read that the store refuses says what was asked for",
          "[fleet][store][odd]") {
  StoreReader reader;
  reader.store().RefuseReads(400);
  const auto result = reader.ReadAll();
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kRefused);
  CHECK(result->failure == "GET /kv-range?prefix=: status 400");
}

// The same page was read without a pause and without end, and kept each time.
TEST_CASE("A list that does not go on is given up", "[fleet][store][odd]") {
  StoreReader reader;
  reader.store().SetPageSize(1);
  reader.store().Put("servers/a", "{}");
  reader.store().Put("servers/b", "{}");
  reader.store().RepeatPages();
  const auto result = reader.ReadAll();
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kUnknown);
  CHECK(reader.store().pages_read() == 2);
  CHECK(result->failure.find("servers/a") != std::string::npos);
}

// The entries of the pages after it were taken to be gone.
TEST_CASE("A page without entries before further pages is no page",
          "[fleet][store][odd]") {
  StoreReader reader;
  reader.store().SetPageSize(0);
  reader.store().Put("servers/a", "{}");
  const auto result = reader.ReadAll();
  REQUIRE(result);
  CHECK(result->status == StoreStatus::kUnknown);
}

}  // namespace yuccamoor::fleet
