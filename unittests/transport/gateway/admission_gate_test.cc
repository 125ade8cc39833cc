/// \file
/// \brief Tests of the gate before a gateway's requests.

#include "yuccamoor/transport/gateway/admission_gate.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>

#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

/// A gate with one place and one seat in its queue. Time stands still.
struct Fixture {
  Fixture() : gate(Options(), clock, 1) {}

  static AdmissionOptions Options() {
    AdmissionOptions options;
    options.max_running = 1;
    options.max_queued = 1;
    return options;
  }

  /// Lets a request arrive and run as far as it can.
  void Arrive(const std::string& name, Priority priority) {
    SpawnLogged(context.get_executor(),
                [this, name, priority]() -> Awaitable<void> {
                  AdmissionWish wish;
                  wish.priority = priority;
                  wish.caller_gone = [this] { return callers_gone; };
                  AdmissionResult result = co_await gate.Enter(std::move(wish));
                  results.emplace(name, std::move(result));
                });
    Poll();
  }

  void Poll() {
    for (int i = 0; i < 10; ++i) {
      context.poll();
      context.restart();
    }
  }

  bool IsRefused(const std::string& name) const {
    return results.contains(name) && results.at(name).refused;
  }
  bool Runs(const std::string& name) const {
    return results.contains(name) && results.at(name).pass.has_value();
  }

  ManualClock clock;
  asio::io_context context;
  AdmissionGate gate;
  bool callers_gone = false;
  std::map<std::string, AdmissionResult> results;
};

}  // namespace

TEST_CASE("Refusals are told at once, and the higher class goes first",
          "[admission]") {
  Fixture f;
  f.Arrive("first", Priority::kBackground);
  CHECK(f.Runs("first"));
  f.Arrive("summary", Priority::kBackground);
  CHECK_FALSE(f.results.contains("summary"));
  // Time stands still, so that a verdict that is here now came at once.
  f.Arrive("chat", Priority::kInteractive);
  CHECK(f.IsRefused("summary"));
  f.Arrive("other chat", Priority::kInteractive);
  CHECK(f.IsRefused("other chat"));
  for (const char* name : {"summary", "other chat"}) {
    CHECK(f.results.at(name).retry_after >= DurationMs(1'000));
    CHECK(f.results.at(name).retry_after < DurationMs(2'000));
  }
  CHECK(f.results.at("summary").retry_after !=
        f.results.at("other chat").retry_after);
  CHECK_FALSE(f.results.contains("chat"));
  f.results.at("first").pass.reset();
  f.Poll();
  CHECK(f.Runs("chat"));
  CHECK(f.gate.running() == 1);
  f.results.clear();
  CHECK(f.gate.running() == 0);
}

TEST_CASE("A request whose time has passed gives its seat up", "[admission]") {
  Fixture f;
  f.Arrive("first", Priority::kNormal);
  f.callers_gone = true;
  f.Arrive("gone", Priority::kNormal);
  CHECK(f.results.contains("gone"));
  CHECK_FALSE(f.IsRefused("gone"));
  CHECK_FALSE(f.Runs("gone"));
  CHECK(f.gate.queued() == 0);
  f.results.clear();
  CHECK(f.gate.running() == 0);
}

}  // namespace yuccamoor
